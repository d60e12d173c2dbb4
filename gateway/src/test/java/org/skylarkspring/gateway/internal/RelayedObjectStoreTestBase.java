package org.skylarkspring.gateway.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import com.google.gson.JsonObject;
import org.junit.jupiter.api.BeforeEach;

import org.skylarkspring.gateway.model.StoreResult;
import org.skylarkspring.gateway.model.StoredObject;
import org.skylarkspring.gateway.policy.ClusterMember;

/**
 * Base class of tests of {@link RelayedObjectStore}, {@link StoreRelayHandler} and
 * {@link WatchCache} together, with an instance that reads the store through a relay in
 * virtual time.
 */
abstract class RelayedObjectStoreTestBase {

	private static final long REVOCATION_MILLIS = 5_000;

	final VirtualTimeScheduler scheduler = new VirtualTimeScheduler();

	private final DecisionLog log = new DecisionLog();

	/** Store that the relay reads. */
	final FakeObjectStore relayStore = new FakeObjectStore();

	/** Store that the instance under test reads when it bypasses the relay. */
	final FakeObjectStore directStore = new FakeObjectStore();

	private final ConfigurationPoller relayPoller = new ConfigurationPoller(this.relayStore::read,
			this.relayStore::read, new VersionOnlyObjectDecoder(), this.scheduler, this.log, REVOCATION_MILLIS);

	final List<PeerLoadReport> reportsReceivedByRelay = new ArrayList<>();

	final StoreRelayHandler relayHandler = new StoreRelayHandler("i0", this.scheduler, this.log, this.relayPoller,
			this.reportsReceivedByRelay::add);

	final PeerTable peers = new PeerTable(new ClusterMember("other", "dc", 0.05), 5);

	final RelayedObjectStore relayedStore = new RelayedObjectStore(this.directStore, this::callRelay, this.scheduler,
			this.log, this.peers, () -> new PeerLoadReport("other", false, List.of(), List.of()));

	final ConfigurationPoller poller = new ConfigurationPoller(this.relayedStore::read, this.relayedStore::readDirectly,
			new VersionOnlyObjectDecoder(), this.scheduler, this.log, REVOCATION_MILLIS);

	final List<RelayResponse> relayResponses = new ArrayList<>();

	String relayAddress;

	boolean relayReachable = true;

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

	static StoreResult configurationWithVersion(long version) {
		JsonObject content = new JsonObject();
		content.addProperty("version", version);
		return new StoreResult.Listed(List.of(new StoredObject("main", version, content)), version, false);
	}

}
