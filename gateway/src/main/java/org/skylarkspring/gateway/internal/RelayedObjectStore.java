package org.skylarkspring.gateway.internal;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;
import java.util.function.Supplier;

import org.skylarkspring.gateway.model.ObjectKind;
import org.skylarkspring.gateway.model.StoreResult;
import org.skylarkspring.gateway.port.ObjectStore;

/**
 * The platform's store as an instance reads it that is no relay: from its relay as long
 * as that answers and is in touch with the store, else from the store itself. A relay
 * always reads from the store.
 */
final class RelayedObjectStore implements ObjectStore {

	/** Beyond the time that a call may wait at the relay. */
	private static final long RELAY_TIMEOUT_MARGIN_MILLIS = 400;

	/** A read waits at the relay for its next poll, a second or little more. */
	private static final long MAXIMUM_READ_WAIT_MILLIS = 1_300;

	/** Age above which the relay itself has lost touch. */
	private static final long MAXIMUM_RELAY_AGE_MILLIS = 1_300;

	private final ObjectStore directStore;

	private final RelayClient relayClient;

	private final Scheduler scheduler;

	private final DecisionLog log;

	private final PeerTable peers;

	/** Told with each reading of the configuration, which keeps the relay up to date. */
	private final Supplier<PeerLoadReport> ownReportSupplier;

	/** Where the last list of each kind came from; absent for the store itself. */
	private final Map<ObjectKind, ListSource> listSources = new EnumMap<>(ObjectKind.class);

	private final Map<ObjectKind, Consumer<StoreResult>> pendingWatches = new EnumMap<>(ObjectKind.class);

	private long configurationRevision = -1;

	RelayedObjectStore(ObjectStore directStore, RelayClient relayClient, Scheduler scheduler, DecisionLog log,
			PeerTable peers, Supplier<PeerLoadReport> ownReportSupplier) {
		this.directStore = directStore;
		this.relayClient = relayClient;
		this.scheduler = scheduler;
		this.log = log;
		this.peers = peers;
		this.ownReportSupplier = ownReportSupplier;
	}

	@Override
	public void read(ObjectKind kind, String name, Consumer<StoreResult> result) {
		Optional<PeerTable.PeerEntry> relay = selectRelay();
		if (relay.isEmpty()) {
			readDirectly(kind, name, result);
			return;
		}
		RelayRequest call = new RelayRequest(RelayRequest.Verb.READ, kind, "", this.configurationRevision, 0,
				List.of(this.ownReportSupplier.get()));
		this.relayClient.call(relay.get().address, call, MAXIMUM_READ_WAIT_MILLIS + RELAY_TIMEOUT_MARGIN_MILLIS,
				(answer) -> {
					Optional<RelayResponse> usable = answer
						.filter((found) -> found.outcome() == RelayResponse.Outcome.LISTED)
						.filter((found) -> found.ageMillis() <= MAXIMUM_RELAY_AGE_MILLIS);
					if (usable.isEmpty()) {
						handleRelayFailure(relay.get(), kind, answer);
					}
					// What was read from the store itself may be newer than what the
					// relay knows.
					usable.filter((found) -> found.revision() >= this.configurationRevision)
						.ifPresentOrElse((found) -> result.accept(toConfirmedResult(found)),
								() -> readDirectly(kind, name, result));
				});
	}

	private StoreResult toConfirmedResult(RelayResponse answer) {
		this.configurationRevision = answer.revision();
		return new StoreResult.Listed(answer.storedObjects(), answer.revision(), false,
				answer.ageMillis() - answer.heldMillis());
	}

	/**
	 * Reads an object from the store itself, whoever else has read it.
	 * @param kind kind of the object
	 * @param name name of the object
	 * @param result receives {@code Listed} with one object, {@code Missing} or
	 * {@code Failed}
	 */
	void readDirectly(ObjectKind kind, String name, Consumer<StoreResult> result) {
		this.directStore.read(kind, name, (outcome) -> {
			if (outcome instanceof StoreResult.Listed listed) {
				this.configurationRevision = Math.max(this.configurationRevision, listed.revision());
			}
			result.accept(outcome);
		});
	}

	@Override
	public void list(ObjectKind kind, String after, Consumer<StoreResult> result) {
		Optional<PeerTable.PeerEntry> relay = after.isEmpty() ? selectRelay() : Optional.empty();
		if (relay.isEmpty()) {
			this.listSources.remove(kind);
			this.directStore.list(kind, after, result);
			return;
		}
		RelayRequest call = new RelayRequest(RelayRequest.Verb.LIST, kind, "", 0, 0, List.of());
		this.relayClient.call(relay.get().address, call, RELAY_TIMEOUT_MARGIN_MILLIS, (answer) -> {
			if (answer.filter((found) -> found.outcome() == RelayResponse.Outcome.LISTED).isPresent()) {
				this.listSources.put(kind, new ListSource(relay.get(), answer.get().source()));
				result.accept(new StoreResult.Listed(answer.get().storedObjects(), answer.get().revision(), false));
			}
			else {
				handleRelayFailure(relay.get(), kind, answer);
				this.listSources.remove(kind);
				this.directStore.list(kind, after, result);
			}
		});
	}

	@Override
	public void watch(ObjectKind kind, long revision, long waitMillis, Consumer<StoreResult> result) {
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
		RelayRequest call = new RelayRequest(RelayRequest.Verb.WATCH, kind, source.get().incarnation(), revision,
				waitMillis, List.of());
		this.relayClient.call(relay.get().address, call, waitMillis + RELAY_TIMEOUT_MARGIN_MILLIS, (answer) -> {
			if (this.pendingWatches.remove(kind, result)) {
				result.accept(toWatchResult(relay.get(), kind, answer));
			}
		});
	}

	private StoreResult toWatchResult(PeerTable.PeerEntry relay, ObjectKind kind, Optional<RelayResponse> answer) {
		if (answer.filter((found) -> found.outcome() == RelayResponse.Outcome.CHANGED).isPresent()) {
			return new StoreResult.Changed(answer.get().objectChanges(), answer.get().revision());
		}
		if (answer.filter((found) -> found.outcome() == RelayResponse.Outcome.HISTORY_GONE).isEmpty()) {
			handleRelayFailure(relay, kind, answer);
		}
		return new StoreResult.HistoryGone();
	}

	@Override
	public void write(ObjectKind kind, String name, String content, Consumer<StoreResult> result) {
		this.directStore.write(kind, name, content, result);
	}

	@Override
	public void remove(ObjectKind kind, String name, Consumer<StoreResult> result) {
		this.directStore.remove(kind, name, result);
	}

	private Optional<PeerTable.PeerEntry> selectRelay() {
		return this.peers.isRelay() ? Optional.empty() : this.peers.assignedRelay(this.scheduler.nowMillis());
	}

	// What the relay was asked to wait for is looked up elsewhere at once.
	private void handleRelayFailure(PeerTable.PeerEntry relay, ObjectKind kind, Optional<RelayResponse> answer) {
		this.log.logStateChange("relay does not tell what the store holds",
				Map.of("relay", relay.member.instanceId(), "kind", kind, "answer",
						answer.map((found) -> found.outcome() + ", age " + found.ageMillis() + " ms").orElse("none")));
		this.peers.markUnresponsive(relay, this.scheduler.nowMillis());
		Map<ObjectKind, Consumer<StoreResult>> waiting = new EnumMap<>(this.pendingWatches);
		this.pendingWatches.clear();
		waiting.values().forEach((result) -> result.accept(new StoreResult.HistoryGone()));
	}

	/**
	 * Where a list came from.
	 *
	 * @param relay the relay
	 * @param incarnation its life, within which its revisions hold
	 */
	private record ListSource(PeerTable.PeerEntry relay, String incarnation) {
	}

}
