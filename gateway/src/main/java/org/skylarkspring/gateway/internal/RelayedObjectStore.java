package org.skylarkspring.gateway.internal;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.skylarkspring.gateway.model.ObjectKind;
import org.skylarkspring.gateway.model.StoreResult;
import org.skylarkspring.gateway.model.StoreRevision;
import org.skylarkspring.gateway.model.StoredObject;
import org.skylarkspring.gateway.port.ObjectStore;

/**
 * Object store that reads through a relay, so that the load on the platform's store does
 * not grow with every instance. Falls back to the store if the relay does not respond or
 * cannot reach the store. An instance that is a relay itself always reads from the store.
 */
final class RelayedObjectStore implements ObjectStore {

	/**
	 * Time allowed for a relay call in addition to the time that it may wait at the
	 * relay.
	 */
	private static final long RELAY_TIMEOUT_MARGIN_MILLIS = 400;

	/**
	 * A read waits for the relay's next poll, which completes within one second or
	 * slightly more.
	 */
	private static final long MAXIMUM_READ_WAIT_MILLIS = 1_300;

	/**
	 * Age of the configuration above which the relay is assumed to have lost the
	 * connection to the store.
	 */
	private static final long MAXIMUM_RELAY_AGE_MILLIS = 1_300;

	private static final String UNRESPONSIVE_RELAY = "no response from relay, using another relay or the store";

	private static final String RELAY_WITHOUT_STORE = "relay cannot reach the store";

	private final ObjectStore directStore;

	private final RelayClient relayClient;

	private final Scheduler scheduler;

	private final DecisionLog log;

	private final PeerTable peers;

	/**
	 * Supplies the load report that is sent to the relay with each read of the
	 * configuration.
	 */
	private final Supplier<PeerLoadReport> ownReportSupplier;

	/**
	 * Source of the last list of each kind, absent if it was read directly from the
	 * store.
	 */
	private final Map<ObjectKind, ListSource> listSources = new EnumMap<>(ObjectKind.class);

	private final Map<ObjectKind, Consumer<StoreResult>> pendingWatches = new EnumMap<>(ObjectKind.class);

	private final StoreFallbackLimiter fallbackLimiter;

	/** Last object read with the configuration, {@code null} before the first read. */
	private StoredObject configurationObject;

	private StoreRevision configurationRevision = StoreRevision.NONE;

	RelayedObjectStore(ObjectStore directStore, RelayClient relayClient, Scheduler scheduler, DecisionLog log,
			PeerTable peers, Supplier<PeerLoadReport> ownReportSupplier) {
		this.directStore = directStore;
		this.relayClient = relayClient;
		this.scheduler = scheduler;
		this.log = log;
		this.peers = peers;
		this.ownReportSupplier = ownReportSupplier;
		this.fallbackLimiter = new StoreFallbackLimiter(scheduler, () -> ThreadLocalRandom.current().nextDouble());
	}

	@Override
	public void read(ObjectKind kind, String name, Consumer<StoreResult> result) {
		Optional<PeerTable.PeerEntry> relay = selectRelay();
		if (relay.isEmpty()) {
			readDirectly(kind, name, result);
			return;
		}
		RelayRequest request = RelayRequest.readConfiguration(this.configurationRevision, this.ownReportSupplier.get());
		this.relayClient.call(relay.get().address, request, MAXIMUM_READ_WAIT_MILLIS + RELAY_TIMEOUT_MARGIN_MILLIS,
				(response) -> {
					if (response.isEmpty()) {
						skipRelay(relay.get(), kind, UNRESPONSIVE_RELAY);
						readDirectly(kind, name, result);
					}
					else {
						handleReadResponse(relay.get(), kind, name, response.get(), result);
					}
				});
	}

	private void handleReadResponse(PeerTable.PeerEntry relay, ObjectKind kind, String name, RelayResponse response,
			Consumer<StoreResult> result) {
		boolean current = hasConfiguration(response) && response.ageMillis() <= MAXIMUM_RELAY_AGE_MILLIS;
		// A configuration read directly from the store may be newer than the relay's.
		boolean older = hasConfiguration(response)
				&& response.storeRevision(this.configurationRevision.era()).isBefore(this.configurationRevision);
		if (current && !older) {
			this.fallbackLimiter.reset(kind);
			result.accept(toConfirmedResult(response));
		}
		else if (older || this.configurationObject == null) {
			readDirectly(kind, name, result);
		}
		else if (this.fallbackLimiter.tryAcquire(kind)) {
			logFallback(relay, kind, response);
			readDirectly(kind, name, (outcome) -> result.accept(recordBypass(relay, kind, outcome)));
		}
		else {
			result.accept(hasConfiguration(response) ? toConfirmedResult(response)
					: new StoreResult.Failed(RELAY_WITHOUT_STORE));
		}
	}

	// A relay that cannot reach the store although this instance can is skipped.
	private StoreResult recordBypass(PeerTable.PeerEntry relay, ObjectKind kind, StoreResult outcome) {
		if (outcome instanceof StoreResult.Listed) {
			skipRelay(relay, kind, "relay cannot reach the store although this instance can, using another relay");
		}
		return outcome;
	}

	private static boolean hasConfiguration(RelayResponse response) {
		return response.outcome() == RelayResponse.Outcome.UNCHANGED
				|| (response.outcome() == RelayResponse.Outcome.LISTED && !response.storedObjects().isEmpty());
	}

	private StoreResult toConfirmedResult(RelayResponse response) {
		if (response.outcome() == RelayResponse.Outcome.LISTED) {
			this.configurationRevision = response.storeRevision(this.configurationRevision.era());
			StoredObject object = response.storedObjects().get(0);
			this.configurationObject = new StoredObject(object.name(), this.configurationRevision, object.content());
		}
		return new StoreResult.Listed(List.of(this.configurationObject), this.configurationRevision, false,
				response.ageMillis() - response.heldMillis());
	}

	/**
	 * Reads an object directly from the store, bypassing the relay.
	 * @param kind kind of the object
	 * @param name name of the object
	 * @param result receives {@code Listed} with one object, {@code Missing} or
	 * {@code Failed}
	 */
	void readDirectly(ObjectKind kind, String name, Consumer<StoreResult> result) {
		this.directStore.read(kind, name, (outcome) -> {
			if (outcome instanceof StoreResult.Listed listed && !listed.revision().isBefore(this.configurationRevision)
					&& !listed.objects().isEmpty()) {
				this.configurationRevision = listed.revision();
				this.configurationObject = listed.objects().get(0);
			}
			result.accept(outcome);
		});
	}

	@Override
	public void list(ObjectKind kind, String afterName, Consumer<StoreResult> result) {
		Optional<PeerTable.PeerEntry> relay = afterName.isEmpty() ? selectRelay() : Optional.empty();
		if (relay.isEmpty()) {
			this.listSources.remove(kind);
			this.directStore.list(kind, afterName, result);
			return;
		}
		RelayRequest request = new RelayRequest(RelayRequest.Operation.LIST, kind, "", 0, 0);
		this.relayClient.call(relay.get().address, request, WatchCache.LIST_HOLD_MILLIS + RELAY_TIMEOUT_MARGIN_MILLIS,
				(response) -> {
					if (response.isEmpty()) {
						skipRelay(relay.get(), kind, UNRESPONSIVE_RELAY);
						this.listSources.remove(kind);
						this.directStore.list(kind, afterName, result);
					}
					else {
						handleListResponse(relay.get(), kind, response.get(), result);
					}
				});
	}

	private void handleListResponse(PeerTable.PeerEntry relay, ObjectKind kind, RelayResponse response,
			Consumer<StoreResult> result) {
		if (response.outcome() == RelayResponse.Outcome.LISTED) {
			this.fallbackLimiter.reset(kind);
			this.listSources.put(kind, new ListSource(relay, response.source()));
			result.accept(new StoreResult.Listed(response.storedObjects(), response.storeRevision(0), false,
					response.ageMillis() - response.heldMillis()));
		}
		else if (this.fallbackLimiter.tryAcquire(kind)) {
			logFallback(relay, kind, response);
			this.listSources.remove(kind);
			this.directStore.list(kind, "", (outcome) -> result.accept(recordBypass(relay, kind, outcome)));
		}
		else {
			result.accept(new StoreResult.Failed(RELAY_WITHOUT_STORE));
		}
	}

	@Override
	public void watch(ObjectKind kind, StoreRevision revision, long waitMillis, Consumer<StoreResult> result) {
		Optional<ListSource> source = Optional.ofNullable(this.listSources.get(kind));
		Optional<PeerTable.PeerEntry> relay = selectRelay();
		if (!relay.equals(source.map(ListSource::relay))) {
			result.accept(new StoreResult.HistoryGone());
			return;
		}
		if (relay.isEmpty()) {
			this.directStore.watch(kind, revision, waitMillis, result);
			return;
		}
		this.pendingWatches.put(kind, result);
		RelayRequest request = new RelayRequest(RelayRequest.Operation.WATCH, kind, source.get().incarnation(),
				revision.number(), waitMillis);
		this.relayClient.call(relay.get().address, request, waitMillis + RELAY_TIMEOUT_MARGIN_MILLIS, (response) -> {
			if (this.pendingWatches.remove(kind, result)) {
				result.accept(toWatchResult(relay.get(), kind, response));
			}
		});
	}

	private StoreResult toWatchResult(PeerTable.PeerEntry relay, ObjectKind kind, Optional<RelayResponse> response) {
		if (response.isEmpty()) {
			skipRelay(relay, kind, UNRESPONSIVE_RELAY);
			return new StoreResult.HistoryGone();
		}
		if (response.get().outcome() == RelayResponse.Outcome.CHANGED) {
			return new StoreResult.Changed(response.get().objectChanges(), response.get().storeRevision(0),
					response.get().ageMillis() - response.get().heldMillis());
		}
		return new StoreResult.HistoryGone();
	}

	@Override
	public void write(ObjectKind kind, String name, String content, Consumer<StoreResult> result) {
		this.directStore.write(kind, name, content, result);
	}

	@Override
	public void writeStatus(ObjectKind kind, String name, StoreRevision revision, String content,
			Consumer<StoreResult> result) {
		this.directStore.writeStatus(kind, name, revision, content, result);
	}

	@Override
	public void remove(ObjectKind kind, String name, Consumer<StoreResult> result) {
		this.directStore.remove(kind, name, result);
	}

	private Optional<PeerTable.PeerEntry> selectRelay() {
		return this.peers.isRelay() ? Optional.empty() : this.peers.assignedRelay(this.scheduler.nowMillis());
	}

	// Ends the pending watches immediately, so that their kinds are listed again from
	// another relay or from the store.
	private void skipRelay(PeerTable.PeerEntry relay, ObjectKind kind, String reason) {
		this.log.logStateChange(reason, Map.of("relay", relay.member.instanceId(), "kind", kind));
		this.peers.markUnresponsive(relay, this.scheduler.nowMillis());
		Map<ObjectKind, Consumer<StoreResult>> watches = new EnumMap<>(this.pendingWatches);
		this.pendingWatches.clear();
		watches.values().forEach((result) -> result.accept(new StoreResult.HistoryGone()));
	}

	private void logFallback(PeerTable.PeerEntry relay, ObjectKind kind, RelayResponse response) {
		this.log.logStateChange("relay has no current data, calling the store",
				Map.of("relay", relay.member.instanceId(), "kind", kind, "outcome", response.outcome(), "age-millis",
						response.ageMillis()));
	}

	/**
	 * Source of a list.
	 *
	 * @param relay table entry of the relay
	 * @param incarnation incarnation of the relay; its revisions are valid only within it
	 */
	private record ListSource(PeerTable.PeerEntry relay, String incarnation) {
	}

}
