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
final class SharedStore implements ObjectStore {

	/** Beyond the time that a call may wait at the relay. */
	private static final long TIMEOUT_MILLIS = 400;

	/** A read waits at the relay for its next poll, a second or little more. */
	private static final long MAXIMUM_READ_MILLIS = 1_300;

	/** Age above which the relay itself has lost touch. */
	private static final long MAXIMUM_AGE_MILLIS = 1_300;

	private final ObjectStore direct;

	private final RelayCalls calls;

	private final TimeSource time;

	private final DecisionLog log;

	private final PeerTable peers;

	/** Told with each reading of the configuration, which keeps the relay up to date. */
	private final Supplier<PeerLoad> ownLoad;

	/** Where the last list of each kind came from; absent for the store itself. */
	private final Map<ObjectKind, Source> sources = new EnumMap<>(ObjectKind.class);

	private final Map<ObjectKind, Consumer<StoreResult>> watching = new EnumMap<>(ObjectKind.class);

	private long configurationRevision = -1;

	SharedStore(ObjectStore direct, RelayCalls calls, TimeSource time, DecisionLog log, PeerTable peers,
			Supplier<PeerLoad> ownLoad) {
		this.direct = direct;
		this.calls = calls;
		this.time = time;
		this.log = log;
		this.peers = peers;
		this.ownLoad = ownLoad;
	}

	@Override
	public void read(ObjectKind kind, String name, Consumer<StoreResult> result) {
		Optional<PeerTable.PeerEntry> relay = relay();
		if (relay.isEmpty()) {
			readDirectly(kind, name, result);
			return;
		}
		RelayedCall call = new RelayedCall(RelayedCall.Verb.READ, kind, "", this.configurationRevision, 0,
				List.of(this.ownLoad.get()));
		this.calls.ask(relay.get().address, call, MAXIMUM_READ_MILLIS + TIMEOUT_MILLIS, (answer) -> {
			Optional<RelayedAnswer> usable = answer.filter((found) -> found.outcome() == RelayedAnswer.Outcome.LISTED)
				.filter((found) -> found.ageMillis() <= MAXIMUM_AGE_MILLIS);
			if (usable.isEmpty()) {
				relayFailed(relay.get(), kind, answer);
			}
			// What was read from the store itself may be newer than what the relay knows.
			usable.filter((found) -> found.revision() >= this.configurationRevision)
				.ifPresentOrElse((found) -> result.accept(confirmed(found)), () -> readDirectly(kind, name, result));
		});
	}

	private StoreResult confirmed(RelayedAnswer answer) {
		this.configurationRevision = answer.revision();
		return new StoreResult.Listed(answer.stored(), answer.revision(), false,
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
		this.direct.read(kind, name, (outcome) -> {
			if (outcome instanceof StoreResult.Listed listed) {
				this.configurationRevision = Math.max(this.configurationRevision, listed.revision());
			}
			result.accept(outcome);
		});
	}

	@Override
	public void list(ObjectKind kind, String after, Consumer<StoreResult> result) {
		Optional<PeerTable.PeerEntry> relay = after.isEmpty() ? relay() : Optional.empty();
		if (relay.isEmpty()) {
			this.sources.remove(kind);
			this.direct.list(kind, after, result);
			return;
		}
		RelayedCall call = new RelayedCall(RelayedCall.Verb.LIST, kind, "", 0, 0, List.of());
		this.calls.ask(relay.get().address, call, TIMEOUT_MILLIS, (answer) -> {
			if (answer.filter((found) -> found.outcome() == RelayedAnswer.Outcome.LISTED).isPresent()) {
				this.sources.put(kind, new Source(relay.get(), answer.get().source()));
				result.accept(new StoreResult.Listed(answer.get().stored(), answer.get().revision(), false));
			}
			else {
				relayFailed(relay.get(), kind, answer);
				this.sources.remove(kind);
				this.direct.list(kind, after, result);
			}
		});
	}

	@Override
	public void watch(ObjectKind kind, long revision, long waitMillis, Consumer<StoreResult> result) {
		Optional<Source> source = Optional.ofNullable(this.sources.get(kind));
		Optional<PeerTable.PeerEntry> relay = relay();
		if (!relay.equals(source.map(Source::relay))) {
			result.accept(new StoreResult.HistoryGone());
			return;
		}
		if (relay.isEmpty()) {
			this.direct.watch(kind, revision, waitMillis, result);
			return;
		}
		this.watching.put(kind, result);
		RelayedCall call = new RelayedCall(RelayedCall.Verb.WATCH, kind, source.get().life(), revision, waitMillis,
				List.of());
		this.calls.ask(relay.get().address, call, waitMillis + TIMEOUT_MILLIS, (answer) -> {
			if (this.watching.remove(kind, result)) {
				result.accept(watched(relay.get(), kind, answer));
			}
		});
	}

	private StoreResult watched(PeerTable.PeerEntry relay, ObjectKind kind, Optional<RelayedAnswer> answer) {
		if (answer.filter((found) -> found.outcome() == RelayedAnswer.Outcome.CHANGED).isPresent()) {
			return new StoreResult.Changed(answer.get().changes(), answer.get().revision());
		}
		if (answer.filter((found) -> found.outcome() == RelayedAnswer.Outcome.HISTORY_GONE).isEmpty()) {
			relayFailed(relay, kind, answer);
		}
		return new StoreResult.HistoryGone();
	}

	@Override
	public void write(ObjectKind kind, String name, String content, Consumer<StoreResult> result) {
		this.direct.write(kind, name, content, result);
	}

	@Override
	public void remove(ObjectKind kind, String name, Consumer<StoreResult> result) {
		this.direct.remove(kind, name, result);
	}

	private Optional<PeerTable.PeerEntry> relay() {
		return this.peers.relay() ? Optional.empty() : this.peers.ownRelay(this.time.nowMillis());
	}

	// What the relay was asked to wait for is looked up elsewhere at once.
	private void relayFailed(PeerTable.PeerEntry relay, ObjectKind kind, Optional<RelayedAnswer> answer) {
		this.log.change("relay does not tell what the store holds",
				Map.of("relay", relay.member.instanceId(), "kind", kind, "answer",
						answer.map((found) -> found.outcome() + ", age " + found.ageMillis() + " ms").orElse("none")));
		this.peers.silent(relay, this.time.nowMillis());
		Map<ObjectKind, Consumer<StoreResult>> waiting = new EnumMap<>(this.watching);
		this.watching.clear();
		waiting.values().forEach((result) -> result.accept(new StoreResult.HistoryGone()));
	}

	/**
	 * Where a list came from.
	 *
	 * @param relay the relay
	 * @param life its life, within which its revisions hold
	 */
	private record Source(PeerTable.PeerEntry relay, String life) {
	}

}
