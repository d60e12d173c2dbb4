package org.skylarkspring.gateway.internal;

import java.util.ArrayList;
import java.util.List;

import com.google.gson.JsonObject;
import org.junit.jupiter.api.Test;

import org.skylarkspring.gateway.model.ObjectKind;
import org.skylarkspring.gateway.model.StoreResult;
import org.skylarkspring.gateway.model.StoreRevision;
import org.skylarkspring.gateway.model.StoredObject;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests reads of the configuration through a relay.
 */
class RelayedConfigurationReadTests extends RelayedObjectStoreTestBase {

	private static StoreResult configurationOfEra(long era, long revision, long version) {
		JsonObject content = new JsonObject();
		content.addProperty("version", version);
		StoreRevision storeRevision = new StoreRevision(era, revision);
		return new StoreResult.Listed(List.of(new StoredObject("main", storeRevision, content)), storeRevision, false);
	}

	@Test
	void readsConfigurationFromRelayWithoutStoreCall() {
		this.poller.start();
		assertThat(this.poller.routingTable().orElseThrow().version(), is(7L));
		assertThat(this.directStore.pendingCalls, empty());
	}

	@Test
	void pollsRelayOncePerSecondWithOwnLoadReport() {
		this.poller.start();
		for (int second = 0; second < 10; second++) {
			this.scheduler.advance(1_000);
			this.relayStore.completeNextCall(configurationWithVersion(7));
		}
		assertThat(this.reportsReceivedByRelay.size(), both(greaterThanOrEqualTo(9)).and(lessThanOrEqualTo(11)));
	}

	@Test
	void relaySendsUnchangedConfigurationOnlyOnce() {
		this.poller.start();
		for (int second = 0; second < 5; second++) {
			this.scheduler.advance(1_000);
			this.relayStore.completeNextCall(configurationWithVersion(7));
		}
		assertThat(this.relayResponses.stream()
			.map(RelayResponse::outcome)
			.filter(RelayResponse.Outcome.LISTED::equals)
			.toList(), hasSize(1));
		assertThat(this.poller.isFresh(), is(true));
		assertThat(this.poller.ageMillis(), lessThanOrEqualTo(1_000L));
	}

	@Test
	void relaySendsConfigurationToInstancesOfEarlierVersions() {
		List<RelayResponse> responses = new ArrayList<>();
		this.relayHandler.respond(new RelayRequest(RelayRequest.Operation.READ, ObjectKind.CONFIGURATION, "", 7, 0),
				responses::add);
		this.scheduler.advance(1_000);
		this.relayStore.completeNextCall(configurationWithVersion(7));
		assertThat(responses.get(0).outcome(), is(RelayResponse.Outcome.LISTED));
	}

	private void pollRelayAndInstance(StoreResult relayResult) {
		this.scheduler.advance(1_000);
		this.relayStore.completeNextCall(relayResult);
		this.scheduler.advance(10);
	}

	@Test
	void versionWithRevisionOfLostVersionIsAppliedThroughRelay() {
		this.poller.start();
		pollRelayAndInstance(configurationOfEra(1, 9, 12));
		pollRelayAndInstance(configurationOfEra(2, 8, 12));
		pollRelayAndInstance(configurationOfEra(2, 9, 14));
		assertThat(this.poller.routingTable().orElseThrow().version(), is(14L));
		assertThat(this.directStore.pendingCalls, empty());
	}

	@Test
	void versionThatFollowsReturnAtOnceIsAppliedAlthoughItsRevisionIsKnown() {
		this.poller.start();
		pollRelayAndInstance(configurationOfEra(1, 9, 12));
		pollRelayAndInstance(configurationOfEra(2, 9, 14));
		assertThat(this.poller.routingTable().orElseThrow().version(), is(14L));
	}

	@Test
	void keepsConfigurationAgeReportedByRelay() {
		this.scheduler.advance(900);
		this.poller.start();
		assertThat(this.poller.ageMillis(), is(900L));
	}

	@Test
	void appliesNewVersionAsSoonAsRelayHasReadIt() {
		this.poller.start();
		this.scheduler.advance(1_000);
		this.relayStore.completeNextCall(configurationWithVersion(8));
		this.scheduler.advance(10);
		assertThat(this.poller.routingTable().orElseThrow().version(), is(8L));
		assertThat(this.directStore.pendingCalls, empty());
	}

	@Test
	void readsFromStoreWhenRelayDoesNotRespond() {
		this.poller.start();
		this.relayReachable = false;
		this.scheduler.advance(2_800);
		this.directStore.completeNextCall(configurationWithVersion(8));
		assertThat(this.poller.routingTable().orElseThrow().version(), is(8L));
	}

	@Test
	void readsFromStoreWhenRelayCannotReachStore() {
		this.poller.start();
		this.scheduler.advance(1_000);
		for (int attempt = 0; attempt < 5; attempt++) {
			this.relayStore.completeNextCall(new StoreResult.Failed("down"));
			this.scheduler.advance(300);
		}
		assertThat(this.directStore.pendingCalls, hasSize(1));
	}

	@Test
	void ignoresConfigurationFromRelayThatWasSuspended() {
		this.scheduler.advanceWallClockOnly(6_000);
		this.poller.start();
		assertThat(this.poller.routingTable().isEmpty(), is(true));
		assertThat(this.directStore.pendingCalls, hasSize(1));
	}

	@Test
	void keepsNewerVersionWhenRelayReturnsOlderVersion() {
		this.poller.start();
		this.poller.runAfterStoreCheck(() -> {
		});
		this.directStore.completeNextCall(configurationWithVersion(8));
		this.scheduler.advance(1_000);
		this.relayStore.completeNextCall(configurationWithVersion(7));
		assertThat(this.poller.routingTable().orElseThrow().version(), is(8L));
		assertThat(this.poller.isFresh(), is(true));
		assertThat(this.directStore.pendingCalls, hasSize(1));
	}

}
