package org.skylarkspring.gateway.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import com.google.gson.JsonObject;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.skylarkspring.gateway.model.ObjectChange;
import org.skylarkspring.gateway.model.ObjectKind;
import org.skylarkspring.gateway.model.StoreResult;
import org.skylarkspring.gateway.model.StoreRevision;
import org.skylarkspring.gateway.model.StoredObject;
import org.skylarkspring.gateway.policy.ClusterMember;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;
import static org.hamcrest.Matchers.not;

/**
 * Tests {@link RelayedObjectStore}, {@link StoreRelayHandler} and {@link WatchCache}
 * together, with an instance that reads the store through a relay in virtual time.
 */
class RelayedObjectStoreTests {

	private static final long REVOCATION_MILLIS = 5_000;

	private final VirtualTimeScheduler scheduler = new VirtualTimeScheduler();

	private final DecisionLog log = new DecisionLog();

	/** Store that the relay reads. */
	private final FakeObjectStore relayStore = new FakeObjectStore();

	/** Store that the instance under test reads when it bypasses the relay. */
	private final FakeObjectStore directStore = new FakeObjectStore();

	private final ConfigurationPoller relayPoller = new ConfigurationPoller(this.relayStore::read,
			this.relayStore::read, new VersionOnlyObjectDecoder(), this.scheduler, this.log, REVOCATION_MILLIS);

	private final List<PeerLoadReport> reportsReceivedByRelay = new ArrayList<>();

	private final StoreRelayHandler relayHandler = new StoreRelayHandler("i0", this.scheduler, this.log,
			this.relayPoller, this.reportsReceivedByRelay::add);

	private final PeerTable peers = new PeerTable(new ClusterMember("other", "dc", 0.05), 5);

	private final RelayedObjectStore relayedStore = new RelayedObjectStore(this.directStore, this::callRelay,
			this.scheduler, this.log, this.peers, () -> new PeerLoadReport("other", false, List.of(), List.of()));

	private final ConfigurationPoller poller = new ConfigurationPoller(this.relayedStore::read,
			this.relayedStore::readDirectly, new VersionOnlyObjectDecoder(), this.scheduler, this.log,
			REVOCATION_MILLIS);

	private final List<StoreResult> results = new ArrayList<>();

	private final List<RelayResponse> relayResponses = new ArrayList<>();

	private String relayAddress;

	private boolean relayReachable = true;

	@BeforeEach
	void startRelay() {
		for (int index = 0; index < 14; index++) {
			this.peers.addOrUpdate(new ClusterMember("i" + index, "dc", (index < 2) ? 2 : 0.1),
					"10.0.0." + index + ":7200");
		}
		this.relayAddress = this.peers.assignedRelay(this.scheduler.nowMillis()).orElseThrow().address;
		this.relayPoller.start();
		this.relayStore.completeNextCall(configurationWithVersion(7));
	}

	// A request that does not reach the relay ends when its timeout elapses.
	private void callRelay(String address, RelayRequest request, long timeoutMillis,
			Consumer<Optional<RelayResponse>> callback) {
		boolean[] answered = { false };
		Consumer<Optional<RelayResponse>> callbackOnce = (response) -> {
			if (!answered[0]) {
				answered[0] = true;
				callback.accept(response);
			}
		};
		this.scheduler.schedule(timeoutMillis, () -> callbackOnce.accept(Optional.empty()));
		if (address.equals(this.relayAddress) && this.relayReachable) {
			this.relayHandler.respond(request, (response) -> {
				if (this.relayReachable) {
					this.relayResponses.add(response);
					callbackOnce.accept(Optional.of(response));
				}
			});
		}
	}

	private static StoreResult configurationWithVersion(long version) {
		JsonObject content = new JsonObject();
		content.addProperty("version", version);
		return new StoreResult.Listed(List.of(new StoredObject("main", version, content)), version, false);
	}

	private static StoreResult configurationOfEra(long era, long revision, long version) {
		JsonObject content = new JsonObject();
		content.addProperty("version", version);
		StoreRevision storeRevision = new StoreRevision(era, revision);
		return new StoreResult.Listed(List.of(new StoredObject("main", storeRevision, content)), storeRevision, false);
	}

	private static StoredObject serverObject(String name) {
		return new StoredObject(name, 1, new JsonObject());
	}

	private ObjectInformer.Listener cacheListener() {
		return this.relayHandler.cacheFor(ObjectKind.SERVERS).listenerForwardingTo(new ObjectInformer.Listener() {

			@Override
			public void onListed(List<StoredObject> all, boolean afterOutage) {
			}

			@Override
			public void onChanged(ObjectChange change) {
			}

		});
	}

	@Nested
	class ConfigurationReads {

		@Test
		void readsConfigurationFromRelayWithoutStoreCall() {
			RelayedObjectStoreTests.this.poller.start();
			assertThat(RelayedObjectStoreTests.this.poller.routingTable().orElseThrow().version(), is(7L));
			assertThat(RelayedObjectStoreTests.this.directStore.pendingCalls, empty());
		}

		@Test
		void pollsRelayOncePerSecondWithOwnLoadReport() {
			RelayedObjectStoreTests.this.poller.start();
			for (int second = 0; second < 10; second++) {
				RelayedObjectStoreTests.this.scheduler.advance(1_000);
				RelayedObjectStoreTests.this.relayStore.completeNextCall(configurationWithVersion(7));
			}
			assertThat(RelayedObjectStoreTests.this.reportsReceivedByRelay.size(),
					both(greaterThanOrEqualTo(9)).and(lessThanOrEqualTo(11)));
		}

		@Test
		void relaySendsUnchangedConfigurationOnlyOnce() {
			RelayedObjectStoreTests.this.poller.start();
			for (int second = 0; second < 5; second++) {
				RelayedObjectStoreTests.this.scheduler.advance(1_000);
				RelayedObjectStoreTests.this.relayStore.completeNextCall(configurationWithVersion(7));
			}
			assertThat(RelayedObjectStoreTests.this.relayResponses.stream()
				.map(RelayResponse::outcome)
				.filter(RelayResponse.Outcome.LISTED::equals)
				.toList(), hasSize(1));
			assertThat(RelayedObjectStoreTests.this.poller.isFresh(), is(true));
			assertThat(RelayedObjectStoreTests.this.poller.ageMillis(), lessThanOrEqualTo(1_000L));
		}

		@Test
		void relaySendsConfigurationToInstancesOfEarlierVersions() {
			List<RelayResponse> responses = new ArrayList<>();
			RelayedObjectStoreTests.this.relayHandler.respond(
					new RelayRequest(RelayRequest.Operation.READ, ObjectKind.CONFIGURATION, "", 7, 0), responses::add);
			RelayedObjectStoreTests.this.scheduler.advance(1_000);
			RelayedObjectStoreTests.this.relayStore.completeNextCall(configurationWithVersion(7));
			assertThat(responses.get(0).outcome(), is(RelayResponse.Outcome.LISTED));
		}

		private void pollRelayAndInstance(StoreResult relayResult) {
			RelayedObjectStoreTests.this.scheduler.advance(1_000);
			RelayedObjectStoreTests.this.relayStore.completeNextCall(relayResult);
			RelayedObjectStoreTests.this.scheduler.advance(10);
		}

		@Test
		void versionWithRevisionOfLostVersionIsAppliedThroughRelay() {
			RelayedObjectStoreTests.this.poller.start();
			pollRelayAndInstance(configurationOfEra(1, 9, 12));
			pollRelayAndInstance(configurationOfEra(2, 8, 12));
			pollRelayAndInstance(configurationOfEra(2, 9, 14));
			assertThat(RelayedObjectStoreTests.this.poller.routingTable().orElseThrow().version(), is(14L));
			assertThat(RelayedObjectStoreTests.this.directStore.pendingCalls, empty());
		}

		@Test
		void versionThatFollowsReturnAtOnceIsAppliedAlthoughItsRevisionIsKnown() {
			RelayedObjectStoreTests.this.poller.start();
			pollRelayAndInstance(configurationOfEra(1, 9, 12));
			pollRelayAndInstance(configurationOfEra(2, 9, 14));
			assertThat(RelayedObjectStoreTests.this.poller.routingTable().orElseThrow().version(), is(14L));
		}

		@Test
		void keepsConfigurationAgeReportedByRelay() {
			RelayedObjectStoreTests.this.scheduler.advance(900);
			RelayedObjectStoreTests.this.poller.start();
			assertThat(RelayedObjectStoreTests.this.poller.ageMillis(), is(900L));
		}

		@Test
		void appliesNewVersionAsSoonAsRelayHasReadIt() {
			RelayedObjectStoreTests.this.poller.start();
			RelayedObjectStoreTests.this.scheduler.advance(1_000);
			RelayedObjectStoreTests.this.relayStore.completeNextCall(configurationWithVersion(8));
			RelayedObjectStoreTests.this.scheduler.advance(10);
			assertThat(RelayedObjectStoreTests.this.poller.routingTable().orElseThrow().version(), is(8L));
			assertThat(RelayedObjectStoreTests.this.directStore.pendingCalls, empty());
		}

		@Test
		void readsFromStoreWhenRelayDoesNotRespond() {
			RelayedObjectStoreTests.this.poller.start();
			RelayedObjectStoreTests.this.relayReachable = false;
			RelayedObjectStoreTests.this.scheduler.advance(2_800);
			RelayedObjectStoreTests.this.directStore.completeNextCall(configurationWithVersion(8));
			assertThat(RelayedObjectStoreTests.this.poller.routingTable().orElseThrow().version(), is(8L));
		}

		@Test
		void readsFromStoreWhenRelayCannotReachStore() {
			RelayedObjectStoreTests.this.poller.start();
			RelayedObjectStoreTests.this.scheduler.advance(1_000);
			for (int attempt = 0; attempt < 5; attempt++) {
				RelayedObjectStoreTests.this.relayStore.completeNextCall(new StoreResult.Failed("down"));
				RelayedObjectStoreTests.this.scheduler.advance(300);
			}
			assertThat(RelayedObjectStoreTests.this.directStore.pendingCalls, hasSize(1));
		}

		@Test
		void ignoresConfigurationFromRelayThatWasSuspended() {
			RelayedObjectStoreTests.this.scheduler.advanceWallClockOnly(6_000);
			RelayedObjectStoreTests.this.poller.start();
			assertThat(RelayedObjectStoreTests.this.poller.routingTable().isEmpty(), is(true));
			assertThat(RelayedObjectStoreTests.this.directStore.pendingCalls, hasSize(1));
		}

		@Test
		void keepsNewerVersionWhenRelayReturnsOlderVersion() {
			RelayedObjectStoreTests.this.poller.start();
			RelayedObjectStoreTests.this.poller.runAfterStoreCheck(() -> {
			});
			RelayedObjectStoreTests.this.directStore.completeNextCall(configurationWithVersion(8));
			RelayedObjectStoreTests.this.scheduler.advance(1_000);
			RelayedObjectStoreTests.this.relayStore.completeNextCall(configurationWithVersion(7));
			assertThat(RelayedObjectStoreTests.this.poller.routingTable().orElseThrow().version(), is(8L));
			assertThat(RelayedObjectStoreTests.this.poller.isFresh(), is(true));
			assertThat(RelayedObjectStoreTests.this.directStore.pendingCalls, hasSize(1));
		}

	}

	@Nested
	class Watches {

		@BeforeEach
		void listServers() {
			cacheListener().onListed(List.of(serverObject("s1")), false);
			RelayedObjectStoreTests.this.relayedStore.list(ObjectKind.SERVERS, "",
					RelayedObjectStoreTests.this.results::add);
		}

		private StoreResult lastResult() {
			return RelayedObjectStoreTests.this.results.get(RelayedObjectStoreTests.this.results.size() - 1);
		}

		private void watchServers() {
			StoreRevision revision = ((StoreResult.Listed) lastResult()).revision();
			RelayedObjectStoreTests.this.relayedStore.watch(ObjectKind.SERVERS, revision, 4_000,
					RelayedObjectStoreTests.this.results::add);
		}

		@Test
		void deliversChangesWithinBatchWindowTogether() {
			watchServers();
			cacheListener().onChanged(new ObjectChange(serverObject("s2"), false));
			cacheListener().onChanged(new ObjectChange(serverObject("s3"), false));
			RelayedObjectStoreTests.this.scheduler.advance(30);
			assertThat(((StoreResult.Changed) lastResult()).changes(), hasSize(2));
			assertThat(RelayedObjectStoreTests.this.directStore.pendingCalls, empty());
		}

		@Test
		void deliversChangesMadeBetweenListAndWatch() {
			cacheListener().onChanged(new ObjectChange(serverObject("s2"), false));
			cacheListener().onChanged(new ObjectChange(serverObject("s1"), true));
			watchServers();
			assertThat(((StoreResult.Changed) lastResult()).changes(), hasSize(2));
		}

		@Test
		void reportsHistoryGoneWhenRelayLosesStore() {
			watchServers();
			cacheListener().onStoreUnreachable();
			RelayedObjectStoreTests.this.scheduler.advance(WatchCache.UNREACHABLE_GRACE_MILLIS);
			assertThat(lastResult(), instanceOf(StoreResult.HistoryGone.class));
		}

		@Test
		void keepsWatchWhileRelayListsAgainAfterCutWatch() {
			watchServers();
			cacheListener().onStoreUnreachable();
			RelayedObjectStoreTests.this.scheduler.advance(WatchCache.UNREACHABLE_GRACE_MILLIS / 2);
			cacheListener().onListed(List.of(serverObject("s1"), serverObject("s2")), false);
			RelayedObjectStoreTests.this.scheduler.advance(WatchCache.UNREACHABLE_GRACE_MILLIS);
			assertThat(((StoreResult.Changed) lastResult()).changes()
				.stream()
				.map((change) -> change.object().name() + " " + change.deleted())
				.toList(), is(List.of("s2 false")));
		}

		@Test
		void reportsServersMissingAfterCutWatchAsDeleted() {
			watchServers();
			cacheListener().onListed(List.of(serverObject("s2")), false);
			RelayedObjectStoreTests.this.scheduler.advance(30);
			assertThat(((StoreResult.Changed) lastResult()).changes()
				.stream()
				.map((change) -> change.object().name() + " " + change.deleted())
				.toList(), is(List.of("s1 true", "s2 false")));
		}

		@Test
		void othersListThemselvesAfterOutageOfRelay() {
			watchServers();
			cacheListener().onListed(List.of(), true);
			assertThat(lastResult(), instanceOf(StoreResult.HistoryGone.class));
		}

		@Test
		void listWaitsForRelayToReachStoreAgain() {
			cacheListener().onStoreUnreachable();
			RelayedObjectStoreTests.this.scheduler.advance(WatchCache.UNREACHABLE_GRACE_MILLIS);
			int before = RelayedObjectStoreTests.this.results.size();
			RelayedObjectStoreTests.this.relayedStore.list(ObjectKind.SERVERS, "",
					RelayedObjectStoreTests.this.results::add);
			assertThat(RelayedObjectStoreTests.this.results, hasSize(before));
			cacheListener().onListed(List.of(serverObject("s9")), true);
			assertThat(((StoreResult.Listed) lastResult()).objects(), hasSize(1));
			assertThat(RelayedObjectStoreTests.this.directStore.pendingCalls, empty());
		}

		@Test
		void callsStoreRarelyWhileRelayCannotReachIt() {
			cacheListener().onStoreUnreachable();
			RelayedObjectStoreTests.this.scheduler.advance(WatchCache.UNREACHABLE_GRACE_MILLIS);
			int calls = 0;
			for (int attempt = 0; attempt < 20; attempt++) {
				RelayedObjectStoreTests.this.relayedStore.list(ObjectKind.SERVERS, "",
						RelayedObjectStoreTests.this.results::add);
				RelayedObjectStoreTests.this.scheduler.advance(500);
				while (!RelayedObjectStoreTests.this.directStore.pendingCalls.isEmpty()) {
					calls++;
					RelayedObjectStoreTests.this.directStore.completeNextCall(new StoreResult.Failed("down"));
				}
			}
			// Ten seconds, at most one call in each.
			assertThat(calls, both(greaterThanOrEqualTo(2)).and(lessThanOrEqualTo(10)));
		}

		@Test
		void skipsRelayThatCannotReachStoreAlthoughThisInstanceCan() {
			cacheListener().onStoreUnreachable();
			RelayedObjectStoreTests.this.scheduler.advance(WatchCache.UNREACHABLE_GRACE_MILLIS);
			for (int attempt = 0; RelayedObjectStoreTests.this.directStore.pendingCalls.isEmpty()
					&& attempt < 20; attempt++) {
				RelayedObjectStoreTests.this.relayedStore.list(ObjectKind.SERVERS, "",
						RelayedObjectStoreTests.this.results::add);
				RelayedObjectStoreTests.this.scheduler.advance(500);
			}
			RelayedObjectStoreTests.this.directStore.completeNextCall(new StoreResult.Listed(List.of(), 9, false));
			assertThat(
					RelayedObjectStoreTests.this.peers.assignedRelay(RelayedObjectStoreTests.this.scheduler.nowMillis())
						.map((peer) -> peer.address),
					is(not(Optional.of(RelayedObjectStoreTests.this.relayAddress))));
		}

		@Test
		void reportsHistoryGoneWhenRelayReadTimesOut() {
			RelayedObjectStoreTests.this.poller.start();
			watchServers();
			RelayedObjectStoreTests.this.relayReachable = false;
			RelayedObjectStoreTests.this.scheduler.advance(2_800);
			assertThat(lastResult(), instanceOf(StoreResult.HistoryGone.class));
		}

		@Test
		void returnsNoChangesWhenWatchTimesOut() {
			watchServers();
			RelayedObjectStoreTests.this.scheduler.advance(4_000);
			assertThat(((StoreResult.Changed) lastResult()).changes(), empty());
		}

	}

}
