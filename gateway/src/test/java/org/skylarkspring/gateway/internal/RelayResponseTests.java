package org.skylarkspring.gateway.internal;

import java.util.Arrays;

import com.google.gson.JsonObject;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.skylarkspring.gateway.model.ObjectChange;
import org.skylarkspring.gateway.model.StoredObject;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link RelayResponse}.
 */
class RelayResponseTests {

	private static final RelayResponse RESPONSE = new RelayResponse("relay", RelayResponse.Outcome.LISTED,
			Arrays.asList(null, new RelayResponse.RelayedObject(null, 1, new JsonObject(), false),
					new RelayResponse.RelayedObject("a", 1, null, false)),
			7, 0, 0, 1L);

	@Nested
	class InvalidObjects {

		@Test
		void objectsWithoutNameDoNotAffectTheOthers() {
			assertThat(RESPONSE.storedObjects().stream().map(StoredObject::name).toList(), contains("a"));
			assertThat(RESPONSE.objectChanges().stream().map(ObjectChange::object).map(StoredObject::name).toList(),
					contains("a"));
		}

		@Test
		void objectWithoutContentHasNoFields() {
			assertThat(RESPONSE.storedObjects().get(0).content(), is(new JsonObject()));
		}

	}

}
