package org.skylarkspring.gateway.internal;

import java.util.List;
import java.util.Optional;

import com.google.gson.JsonObject;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.skylarkspring.gateway.model.ObjectChange;
import org.skylarkspring.gateway.model.ObjectKind;
import org.skylarkspring.gateway.model.RoutingTable;
import org.skylarkspring.gateway.model.ServerRegistration;
import org.skylarkspring.gateway.model.StoredObject;
import org.skylarkspring.gateway.port.ObjectDecoder;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

/**
 * Tests for {@link ServerRegistrationListener}.
 */
class ServerRegistrationListenerTests {

	private static final String COUNTER = "gateway_decisions_total{decision=\"invalid object of store ignored\"} ";

	private final GatewayMetrics metrics = new GatewayMetrics();

	private final ServerTable servers = new ServerTable((entry) -> {
	});

	private final ServerRegistrationListener listener = new ServerRegistrationListener(new FailingDecoder(),
			this.servers, new VirtualTimeScheduler(),
			new InvalidObjectLog(new DecisionLog(), this.metrics, ObjectKind.SERVERS));

	private static StoredObject object(String name, String fault) {
		JsonObject content = new JsonObject();
		content.addProperty("fault", fault);
		return new StoredObject(name, 1, content);
	}

	private void put(String name, String fault) {
		this.listener.onChanged(new ObjectChange(object(name, fault), false));
	}

	private boolean isUsable(String name) {
		return this.servers.find(name).filter(ServerEntry::acceptsRequests).isPresent();
	}

	private String metricsText() {
		return new String(this.metrics.toPrometheusText());
	}

	@Nested
	class InvalidEntries {

		@Test
		void listIsAppliedWithoutEntriesThatAreInvalidOrCannotBeDecoded() {
			ServerRegistrationListenerTests.this.listener.onListed(
					List.of(object("a", ""), object("b", "invalid"), object("c", "exception"), object("d", "")), false);
			assertThat(ServerRegistrationListenerTests.this.servers.all().size(), is(2));
			assertThat(isUsable("d"), is(true));
			assertThat(metricsText(), containsString(COUNTER + "2.0"));
		}

		@Test
		void serverWhoseEntryBecomesInvalidIsUsedAgainWhenItIsValid() {
			put("a", "");
			put("a", "exception");
			assertThat(isUsable("a"), is(false));
			put("a", "");
			assertThat(isUsable("a"), is(true));
		}

		@Test
		void entryIsCountedAgainOnlyAfterItWasValidOrGone() {
			put("a", "invalid");
			put("a", "exception");
			ServerRegistrationListenerTests.this.listener.onListed(List.of(object("a", "invalid")), false);
			assertThat(metricsText(), containsString(COUNTER + "1.0"));
			put("a", "");
			put("a", "invalid");
			assertThat(metricsText(), containsString(COUNTER + "2.0"));
			ServerRegistrationListenerTests.this.listener.onListed(List.of(), false);
			put("a", "invalid");
			ServerRegistrationListenerTests.this.listener.onChanged(new ObjectChange(object("a", ""), true));
			put("a", "invalid");
			assertThat(metricsText(), containsString(COUNTER + "4.0"));
		}

		@Test
		void validEntriesAreNotCounted() {
			put("a", "");
			assertThat(metricsText(), not(containsString(COUNTER)));
		}

	}

	/**
	 * Decoder that does what the content of an object says.
	 */
	private static final class FailingDecoder implements ObjectDecoder {

		@Override
		public Optional<RoutingTable> decodeRoutingTable(StoredObject object) {
			return Optional.empty();
		}

		@Override
		public Optional<ServerRegistration> decodeServerRegistration(StoredObject object) {
			return switch (object.content().get("fault").getAsString()) {
				case "exception" -> throw new NumberFormatException("exception of decoder");
				case "invalid" -> Optional.empty();
				default -> Optional.of(new ServerRegistration(object.name(), "s", "10.0.0.1:80", "dc", 1, false, 0, 1));
			};
		}

	}

}
