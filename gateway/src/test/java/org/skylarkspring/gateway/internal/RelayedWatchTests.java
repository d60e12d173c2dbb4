package org.skylarkspring.gateway.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import com.google.gson.JsonObject;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;

import org.skylarkspring.gateway.model.ObjectChange;
import org.skylarkspring.gateway.model.ObjectKind;
import org.skylarkspring.gateway.model.StoreResult;
import org.skylarkspring.gateway.model.StoreRevision;
import org.skylarkspring.gateway.model.StoredObject;

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
 * Tests lists and watches through a relay.
 */
class RelayedWatchTests extends RelayedObjectStoreTestBase {

	private final List<StoreResult> results = new ArrayList<>();

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

	@BeforeEach
	void listServers() {
		cacheListener().onListed(List.of(serverObject("s1")), false);
		this.relayedStore.list(ObjectKind.SERVERS, "", this.results::add);
	}

	private StoreResult lastResult() {
		return this.results.get(this.results.size() - 1);
	}

	private void watchServers() {
		StoreRevision revision = ((StoreResult.Listed) lastResult()).revision();
		this.relayedStore.watch(ObjectKind.SERVERS, revision, 4_000, this.results::add);
	}

	@Test
	void deliversChangesWithinBatchWindowTogether() {
		watchServers();
		cacheListener().onChanged(new ObjectChange(serverObject("s2"), false));
		cacheListener().onChanged(new ObjectChange(serverObject("s3"), false));
		this.scheduler.advance(30);
		assertThat(((StoreResult.Changed) lastResult()).changes(), hasSize(2));
		assertThat(this.directStore.pendingCalls, empty());
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
		this.scheduler.advance(WatchCache.UNREACHABLE_GRACE_MILLIS);
		assertThat(lastResult(), instanceOf(StoreResult.HistoryGone.class));
	}

	@Test
	void keepsWatchWhileRelayListsAgainAfterCutWatch() {
		watchServers();
		cacheListener().onStoreUnreachable();
		this.scheduler.advance(WatchCache.UNREACHABLE_GRACE_MILLIS / 2);
		cacheListener().onListed(List.of(serverObject("s1"), serverObject("s2")), false);
		this.scheduler.advance(WatchCache.UNREACHABLE_GRACE_MILLIS);
		assertThat(((StoreResult.Changed) lastResult()).changes()
			.stream()
			.map((change) -> change.object().name() + " " + change.deleted())
			.toList(), is(List.of("s2 false")));
	}

	@Test
	void reportsServersMissingAfterCutWatchAsDeleted() {
		watchServers();
		cacheListener().onListed(List.of(serverObject("s2")), false);
		this.scheduler.advance(30);
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
		this.scheduler.advance(WatchCache.UNREACHABLE_GRACE_MILLIS);
		int before = this.results.size();
		this.relayedStore.list(ObjectKind.SERVERS, "", this.results::add);
		assertThat(this.results, hasSize(before));
		cacheListener().onListed(List.of(serverObject("s9")), true);
		assertThat(((StoreResult.Listed) lastResult()).objects(), hasSize(1));
		assertThat(this.directStore.pendingCalls, empty());
	}

	@Test
	void callsStoreRarelyWhileRelayCannotReachIt() {
		cacheListener().onStoreUnreachable();
		this.scheduler.advance(WatchCache.UNREACHABLE_GRACE_MILLIS);
		int calls = 0;
		for (int attempt = 0; attempt < 20; attempt++) {
			this.relayedStore.list(ObjectKind.SERVERS, "", this.results::add);
			this.scheduler.advance(500);
			while (!this.directStore.pendingCalls.isEmpty()) {
				calls++;
				this.directStore.completeNextCall(new StoreResult.Failed("down"));
			}
		}
		// Ten seconds, at most one call in each.
		assertThat(calls, both(greaterThanOrEqualTo(2)).and(lessThanOrEqualTo(10)));
	}

	@Test
	void skipsRelayThatCannotReachStoreAlthoughThisInstanceCan() {
		cacheListener().onStoreUnreachable();
		this.scheduler.advance(WatchCache.UNREACHABLE_GRACE_MILLIS);
		for (int attempt = 0; this.directStore.pendingCalls.isEmpty() && attempt < 20; attempt++) {
			this.relayedStore.list(ObjectKind.SERVERS, "", this.results::add);
			this.scheduler.advance(500);
		}
		this.directStore.completeNextCall(new StoreResult.Listed(List.of(), 9, false));
		assertThat(this.peers.assignedRelay(this.scheduler.nowMillis()).map((peer) -> peer.address),
				is(not(Optional.of(this.relayAddress))));
	}

	@Test
	void reportsHistoryGoneWhenRelayReadTimesOut() {
		this.poller.start();
		watchServers();
		this.relayReachable = false;
		this.scheduler.advance(2_800);
		assertThat(lastResult(), instanceOf(StoreResult.HistoryGone.class));
	}

	@Test
	void returnsNoChangesWhenWatchTimesOut() {
		watchServers();
		this.scheduler.advance(4_000);
		assertThat(((StoreResult.Changed) lastResult()).changes(), empty());
	}

}
