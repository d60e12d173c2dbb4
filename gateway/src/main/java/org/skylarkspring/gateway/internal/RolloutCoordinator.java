package org.skylarkspring.gateway.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import org.skylarkspring.gateway.model.ObjectChange;
import org.skylarkspring.gateway.model.ObjectKind;
import org.skylarkspring.gateway.model.ServerRegistration;
import org.skylarkspring.gateway.model.StoreResult;
import org.skylarkspring.gateway.model.StoredObject;
import org.skylarkspring.gateway.peer.DigestParticipant;
import org.skylarkspring.gateway.peer.PeerDigest;
import org.skylarkspring.gateway.placement.ServerGate;
import org.skylarkspring.gateway.port.ObjectDecoder;
import org.skylarkspring.gateway.port.ObjectStore;
import org.skylarkspring.gateway.rollout.Rollout;
import org.skylarkspring.gateway.rollout.RolloutBounds;
import org.skylarkspring.gateway.rollout.RolloutDecider;
import org.skylarkspring.gateway.rollout.RolloutGate;
import org.skylarkspring.gateway.rollout.RolloutStage;
import org.skylarkspring.gateway.rollout.RolloutState;
import org.skylarkspring.gateway.rollout.RolloutStatus;
import org.skylarkspring.gateway.rollout.RolloutTable;
import org.skylarkspring.gateway.rollout.VersionOutcomes;

/**
 * Connects the decisions about rollouts with the store, the other instances and the
 * requests. Any instance may decide; the conditional write of the status makes sure that
 * only one decision counts.
 */
final class RolloutCoordinator implements ObjectInformer.Listener, DigestParticipant {

	/** Part of the exposure slack that is used. */
	private static final double SLACK_FRACTION = 0.7;

	/** Number of instances that share the slack, so that each has some requests. */
	private static final int SLACK_OWNERS = 7;

	private static final long MIGRATION_INTERVAL_MILLIS = 500;

	private final GatewayContext context;

	private final ObjectStore store;

	private final ObjectDecoder decoder;

	private final PeerTable peers;

	private final ServerTable servers;

	private final Consumer<ServerEntry> migration;

	private final RolloutBounds bounds;

	/** Reports to the other instances soon. */
	private final Runnable reportTrigger;

	private final RolloutTable table;

	private final InvalidObjectLog invalidObjects;

	private final RolloutDecider decider;

	private long era;

	private long lastMigrationMillis = Long.MIN_VALUE / 2;

	RolloutCoordinator(GatewayContext context, ObjectStore store, ObjectDecoder decoder, PeerTable peers,
			ServerTable servers, RolloutBounds bounds, Consumer<ServerEntry> migration, Runnable reportTrigger) {
		this.context = context;
		this.store = store;
		this.decoder = decoder;
		this.peers = peers;
		this.servers = servers;
		this.bounds = bounds;
		this.migration = migration;
		this.reportTrigger = reportTrigger;
		this.decider = new RolloutDecider(context.settings.instanceId());
		this.table = new RolloutTable(bounds, this::usableServers, this::slackPart, ThreadLocalRandom.current());
		this.invalidObjects = new InvalidObjectLog(context.log, context.metrics, ObjectKind.ROLLOUTS);
	}

	ServerGate gate() {
		return new RolloutGate(this.table);
	}

	RolloutTable table() {
		return this.table;
	}

	private List<ServerRegistration> usableServers(String service) {
		return this.servers.findByService(service)
			.stream()
			.filter(ServerEntry::acceptsRequests)
			.map((entry) -> entry.registration)
			.toList();
	}

	private double slackPart(String rollout) {
		int owners = Math.min(SLACK_OWNERS, this.peers.instanceCount());
		return (this.peers.rank(rollout) < owners) ? Math.floor(SLACK_FRACTION * this.bounds.exposureSlack() / owners)
				: 0;
	}

	/**
	 * Records that a request has arrived, which may be sent to a server from now on.
	 * @param request the request
	 */
	void recordRequest(ActiveRequest request) {
		long now = this.context.scheduler.nowMillis();
		this.table.find(request.service.name())
			.filter((state) -> now < state.schedule().limitMillis())
			.ifPresent((state) -> state.budget().recordRequest());
	}

	/**
	 * Records the end of an attempt. The others learn at once of a failure on the new
	 * version, of which there are few.
	 * @param attempt the attempt
	 * @param failed whether the server brought no complete response without an error
	 */
	void recordOutcome(ServerAttempt attempt, boolean failed) {
		this.table.find(attempt.activeRequest.service.name())
			.filter((state) -> attempt.server.acceptsRequests())
			.ifPresent((state) -> recordOutcome(state, attempt, failed));
	}

	private void recordOutcome(RolloutState state, ServerAttempt attempt, boolean failed) {
		boolean bad = state.recordOutcome(attempt.activeRequest.route.name(), attempt.server.registration.version(),
				failed, responseTimes(attempt), this.context.scheduler.epochMillis());
		if (bad) {
			this.reportTrigger.run();
		}
	}

	// The length of a stream says nothing about the server, but the time to its first
	// event and the mean interval do.
	private List<Double> responseTimes(ServerAttempt attempt) {
		ActiveRequest request = attempt.activeRequest;
		long now = this.context.scheduler.nowMillis();
		if (!request.route.semantics().isStreaming()) {
			return List.of((double) (now - attempt.startedMillis));
		}
		boolean whole = attempt.dispatchHead.resumePoint().isEmpty() && request.firstEventMillis > 0
				&& attempt.relayedEvents > 1;
		return whole
				? List.of((double) (request.firstEventMillis - attempt.startedMillis),
						(double) (request.lastEventMillis - request.firstEventMillis) / (attempt.relayedEvents - 1))
				: List.of();
	}

	@Override
	public PeerDigest ownDigest(long nowMillis) {
		List<VersionOutcomes> outcomes = this.table.all()
			.stream()
			.filter((state) -> !state.stage().isFinal())
			.flatMap((state) -> state.evidence().toReport(this.context.scheduler.epochMillis()).stream())
			.toList();
		return outcomes.isEmpty() ? PeerDigest.EMPTY : new PeerDigest(null, outcomes, null, null);
	}

	@Override
	public void onPeerDigest(PeerDigest sum, long nowMillis) {
		if (sum.versionOutcomes() != null) {
			long epochMillis = this.context.scheduler.epochMillis();
			this.table.all()
				.stream()
				.filter((state) -> !state.stage().isFinal())
				.forEach((state) -> state.evidence().applyPeers(sum.versionOutcomes(), epochMillis));
		}
	}

	@Override
	public boolean wantsConfirmations() {
		return true;
	}

	@Override
	public void onConfirmed(long atMillis) {
		this.table.confirm(atMillis);
	}

	@Override
	public void onEra(long listedEra) {
		this.era = listedEra;
	}

	@Override
	public void onListed(List<StoredObject> all, boolean afterOutage) {
		this.invalidObjects.retainListed(all.stream().map(StoredObject::name).collect(Collectors.toSet()));
		List<Rollout> rollouts = all.stream().flatMap((object) -> decode(object).stream()).toList();
		this.table
			.replaceAll(rollouts, this.era, this.context.scheduler.nowMillis(), this.context.scheduler.epochMillis())
			.forEach(this::onStageChanged);
	}

	@Override
	public void onChanged(ObjectChange change) {
		if (change.deleted()) {
			this.invalidObjects.forget(change.object().name());
			remove(change.object().name());
		}
		else {
			decode(change.object()).ifPresentOrElse(this::apply, () -> remove(change.object().name()));
		}
	}

	private void apply(Rollout rollout) {
		this.table.apply(rollout, this.context.scheduler.nowMillis(), this.context.scheduler.epochMillis())
			.ifPresent(this::onStageChanged);
	}

	private void remove(String name) {
		if (this.table.remove(name)) {
			this.context.log.logStateChange("rollout is no longer listed", Map.of("rollout", name));
		}
	}

	private Optional<Rollout> decode(StoredObject object) {
		Optional<Rollout> rollout = decodeSafely(object);
		rollout.ifPresentOrElse((valid) -> this.invalidObjects.forget(object.name()),
				() -> this.invalidObjects.recordInvalid(object, "describes no rollout"));
		return rollout;
	}

	private Optional<Rollout> decodeSafely(StoredObject object) {
		try {
			return this.decoder.decodeRollout(object);
		}
		catch (RuntimeException ex) {
			return Optional.empty();
		}
	}

	private void onStageChanged(RolloutState state) {
		Optional<RolloutStatus> status = state.rollout().currentStatus();
		this.context.metrics.recordDecision("rollout stage " + state.stage());
		this.context.log.logStateChange("rollout stage changed",
				Map.of("rollout", state.rollout().name(), "target", state.rollout().target(), "stage", state.stage(),
						"decided-by", status.map(RolloutStatus::decidedBy).orElse(""), "reason",
						status.map(RolloutStatus::reason).orElse("ordered"), "sent", state.budget().sent(), "requests",
						state.budget().requests()));
		migrate(state);
	}

	// Running generations leave old servers when the version is promoted, and servers of
	// the new version when it turned out bad.
	private void migrate(RolloutState state) {
		boolean promoted = state.stage() == RolloutStage.PROMOTING && state.localFault().isEmpty();
		boolean rolledBack = state.stage() == RolloutStage.ROLLED_BACK;
		if (promoted || rolledBack) {
			serversOf(state, rolledBack).forEach(this.migration);
		}
	}

	private List<ServerEntry> serversOf(RolloutState state, boolean newVersion) {
		return this.servers.findByService(state.rollout().service())
			.stream()
			.filter((entry) -> entry.registration.version().equals(state.rollout().target()) == newVersion)
			.toList();
	}

	private long runningOnOldServers(RolloutState state) {
		return serversOf(state, false).stream()
			.mapToLong((entry) -> entry.attempts.size() + entry.peerRunningRequests)
			.sum();
	}

	/** Decides what follows, and writes it if it is the turn of this instance. */
	void tick() {
		long now = this.context.scheduler.nowMillis();
		this.context.metrics.clearRollouts();
		boolean migrationDue = now - this.lastMigrationMillis >= MIGRATION_INTERVAL_MILLIS;
		List<RolloutState> states = new ArrayList<>(this.table.all());
		this.decider.retainKnown(this.table);
		states.forEach((state) -> {
			this.context.metrics.setRollout(state.rollout().service(), state.rollout().target(),
					state.stage().ordinal(), state.budget().sent());
			state.findOwnFault().ifPresent((reason) -> stopLocally(state, reason));
			if (migrationDue && state.stage() == RolloutStage.PROMOTING) {
				migrate(state);
			}
			propose(state, now);
		});
		this.lastMigrationMillis = migrationDue ? now : this.lastMigrationMillis;
	}

	private void stopLocally(RolloutState state, String reason) {
		if (state.stopLocally(reason)) {
			logStop(state, reason);
		}
	}

	private void logStop(RolloutState state, String reason) {
		this.context.metrics.recordDecision("rollout stopped by this instance");
		this.context.log.logStateChange("instance no longer sends requests to the new version",
				Map.of("rollout", state.rollout().name(), "target", state.rollout().target(), "reason", reason));
	}

	private void propose(RolloutState state, long now) {
		boolean used = state.localFault().isEmpty();
		Optional<RolloutStatus> status = this.decider.decide(state,
				new RolloutDecider.Situation(this.peers.rank(state.rollout().name()), this.table.isFresh(now),
						runningOnOldServers(state), now, this.context.scheduler.epochMillis()));
		if (used) {
			state.localFault().ifPresent((reason) -> logStop(state, reason));
		}
		status.ifPresent((due) -> write(state.rollout(), due));
	}

	// What the store holds afterwards is read in any case: another instance may have
	// decided, and a write that failed may have taken effect.
	private void write(Rollout rollout, RolloutStatus status) {
		this.store.writeStatus(ObjectKind.ROLLOUTS, rollout.name(), rollout.revision(),
				this.decoder.encodeRolloutStatus(status), (result) -> {
					recordWrite(rollout, status, result);
					this.store.read(ObjectKind.ROLLOUTS, rollout.name(), this::applyRead);
				});
	}

	private void recordWrite(Rollout rollout, RolloutStatus status, StoreResult result) {
		if (result instanceof StoreResult.Written) {
			this.context.metrics.recordDecision("rollout status written");
			return;
		}
		this.context.metrics.recordDecision(
				(result instanceof StoreResult.Conflict) ? "rollout status conflict" : "rollout status write failed");
		this.context.log.logStateChange("rollout status not written",
				Map.of("rollout", rollout.name(), "stage", status.stage(), "result", String.valueOf(result)));
	}

	private void applyRead(StoreResult result) {
		if (result instanceof StoreResult.Listed listed) {
			listed.objects().forEach((object) -> decode(object).ifPresent(this::apply));
		}
	}

}
