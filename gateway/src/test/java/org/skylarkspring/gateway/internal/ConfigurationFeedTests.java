package org.skylarkspring.gateway.internal;

import java.util.List;

import com.google.gson.JsonObject;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.skylarkspring.gateway.model.StoreResult;
import org.skylarkspring.gateway.model.StoredObject;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link ConfigurationFeed}.
 */
class ConfigurationFeedTests {

	private static final long REVOCATION_MILLIS = 5_000;

	private final FakeObjectStore store = new FakeObjectStore();

	private final VirtualTime time = new VirtualTime();

	private final ConfigurationFeed feed = new ConfigurationFeed(this.store::read, this.store::read,
			new VersionDecoder(), this.time, new DecisionLog(), REVOCATION_MILLIS);

	@BeforeEach
	void readFirstVersion() {
		this.feed.start();
		this.store.answer(version(7));
	}

	private static StoreResult version(long version) {
		JsonObject content = new JsonObject();
		content.addProperty("version", version);
		return new StoreResult.Listed(List.of(new StoredObject("main", version, content)), version, false);
	}

	private long inForce() {
		return this.feed.table().orElseThrow().version();
	}

	@Nested
	class Age {

		@Test
		void isUnknownOnceTheStoreIsSilentTooLong() {
			assertThat(ConfigurationFeedTests.this.feed.fresh(), is(true));
			ConfigurationFeedTests.this.time.pass(REVOCATION_MILLIS);
			assertThat(ConfigurationFeedTests.this.feed.fresh(), is(false));
		}

		@Test
		void countsFromTheCallAndNotFromTheAnswer() {
			ConfigurationFeedTests.this.time.pass(1_000);
			ConfigurationFeedTests.this.time.pass(900);
			ConfigurationFeedTests.this.store.answer(version(7));
			assertThat(ConfigurationFeedTests.this.feed.ageMillis(), is(900L));
		}

		@Test
		void isUnknownAfterTheMachineWasSuspended() {
			ConfigurationFeedTests.this.time.suspend(4_000);
			assertThat(ConfigurationFeedTests.this.feed.fresh(), is(false));
			ConfigurationFeedTests.this.store.answer(version(8));
			assertThat(ConfigurationFeedTests.this.feed.fresh(), is(true));
			assertThat(inForce(), is(8L));
		}

		@Test
		void isNotConfirmedByACallFromBeforeTheSuspension() {
			ConfigurationFeedTests.this.time.pass(1_000);
			FakeObjectStore.Pending before = ConfigurationFeedTests.this.store.pending.remove(0);
			ConfigurationFeedTests.this.time.suspend(4_000);
			assertThat(ConfigurationFeedTests.this.feed.fresh(), is(false));
			before.result().accept(version(7));
			assertThat(ConfigurationFeedTests.this.feed.fresh(), is(false));
		}

	}

	@Nested
	class Versions {

		@Test
		void neverGoBack() {
			ConfigurationFeedTests.this.time.pass(1_000);
			ConfigurationFeedTests.this.store.answer(version(6));
			assertThat(inForce(), is(7L));
			ConfigurationFeedTests.this.time.pass(4_000);
			assertThat(ConfigurationFeedTests.this.feed.fresh(), is(false));
		}

	}

	@Nested
	class Reads {

		@Test
		void askedForBetweenPollsDoNotAddPolls() {
			for (int count = 0; count < 20; count++) {
				ConfigurationFeedTests.this.feed.afterNextCheck(() -> {
				});
				ConfigurationFeedTests.this.store.answer(version(7));
			}
			ConfigurationFeedTests.this.time.pass(1_000);
			assertThat(ConfigurationFeedTests.this.store.pending.size(), is(1));
		}

	}

}
