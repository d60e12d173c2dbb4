package org.skylarkspring.core.internal;

import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Objects;
import java.util.Optional;
import java.util.function.Predicate;

import org.skylarkspring.core.action.Action;
import org.skylarkspring.core.config.Configuration;
import org.skylarkspring.core.event.Event;
import org.skylarkspring.core.event.EventHandler;
import org.skylarkspring.core.model.CoreStatus;
import org.skylarkspring.core.model.DrainDirective;
import org.skylarkspring.core.model.InstanceRecord;
import org.skylarkspring.core.model.ServerStatus;
import org.skylarkspring.core.model.WarmupRecord;
import org.skylarkspring.core.policy.CorePolicy;

/**
 * Applies events to the tables and runs the systems in a fixed order.
 */
public final class CorePipeline implements EventHandler {

	private final CoreContext context;

	private final DelayedTaskQueue delayedTasks;

	private final MembershipSystem membershipSystem;

	private final LeaseSystem leaseSystem;

	private final WarmupSystem warmupSystem;

	private final LoadSystem loadSystem;

	private final ModelRolloutSystem modelRolloutSystem;

	private final QueueSystem queueSystem;

	private final IntakeSystem intakeSystem;

	private final PlacementSystem placementSystem;

	private final AttemptSystem attemptSystem;

	/**
	 * Creates a pipeline with empty tables.
	 * @param instanceId unique name of the entry instance
	 * @param dataCentre data centre of the entry instance
	 * @param policy the policy for placement, admission and queueing
	 * @param seed seed of all random choices
	 */
	public CorePipeline(String instanceId, String dataCentre, CorePolicy policy, long seed) {
		this.context = new CoreContext(instanceId, dataCentre, policy, seed);
		this.delayedTasks = new DelayedTaskQueue(this.context);
		this.membershipSystem = new MembershipSystem(this.context);
		this.leaseSystem = new LeaseSystem(this.context);
		this.warmupSystem = new WarmupSystem(this.context, this.leaseSystem);
		this.loadSystem = new LoadSystem(this.context, this.warmupSystem);
		this.modelRolloutSystem = new ModelRolloutSystem(this.context, this.leaseSystem);
		IdempotencyClaimSystem claims = new IdempotencyClaimSystem(this.context, this.delayedTasks);
		RequestCompletionSystem completions = new RequestCompletionSystem(this.context, claims);
		this.queueSystem = new QueueSystem(this.context, completions);
		this.intakeSystem = new IntakeSystem(this.context, this.queueSystem, claims, completions, this.delayedTasks);
		this.placementSystem = new PlacementSystem(this.context, this.membershipSystem, this.queueSystem,
				this.loadSystem, this.warmupSystem);
		this.attemptSystem = new AttemptSystem(this.context, this.queueSystem, this.placementSystem, claims,
				completions);
	}

	/**
	 * Applies events and runs all systems that are due.
	 * @param events events in order of arrival, not {@code null}
	 * @param nowMillis time of a monotonic clock in milliseconds
	 * @return actions to carry out in order
	 * @throws IllegalArgumentException if the time is earlier than in the previous step
	 */
	public List<Action> step(List<Event> events, long nowMillis) {
		Objects.requireNonNull(events, "events must not be null");
		if (nowMillis < this.context.nowMillis) {
			throw new IllegalArgumentException(
					"nowMillis must not decrease: got " + nowMillis + " after " + this.context.nowMillis);
		}
		this.context.nowMillis = nowMillis;
		events.forEach((event) -> event.accept(this));
		this.delayedTasks.runDueTasks();
		this.membershipSystem.tick();
		this.warmupSystem.tick();
		this.modelRolloutSystem.tick();
		this.leaseSystem.tick();
		this.loadSystem.tick();
		this.attemptSystem.tick();
		this.queueSystem.tick();
		this.placementSystem.tick();
		this.intakeSystem.tick();
		return this.context.drainActions();
	}

	/**
	 * Returns the active configuration.
	 * @return the configuration, empty until one has been received
	 */
	public Optional<Configuration> configuration() {
		return this.context.configuration();
	}

	/**
	 * Returns the newest drain directive for each target.
	 * @return a snapshot
	 */
	public List<DrainDirective> drainDirectives() {
		return this.context.drainDirectives.all();
	}

	/**
	 * Returns the warm-up state of all servers with a known incarnation.
	 * @return a snapshot
	 */
	public List<WarmupRecord> warmupRecords() {
		return warmupRecords((server) -> true);
	}

	/**
	 * Returns the warm-up state of the servers that are not warm.
	 * @return a snapshot
	 */
	public List<WarmupRecord> unfinishedWarmupRecords() {
		return warmupRecords((server) -> server.phase != WarmupPhase.WARM);
	}

	/**
	 * Returns counters, table sizes and the status of each server.
	 * @return a snapshot
	 */
	public CoreStatus status() {
		long revision = this.context.configuration().map(Configuration::revision).orElse(0L);
		List<ServerStatus> servers = this.context.servers.all().stream().map(this::status).toList();
		return new CoreStatus(revision, this.context.queuedRequests(), this.context.requests.size(),
				this.context.shuttingDown, Map.copyOf(this.context.counters), servers);
	}

	/**
	 * Returns the servers whose load this instance polls.
	 * @return their records in the platform's instance list
	 */
	public List<InstanceRecord> polledServers() {
		return this.membershipSystem.selectedServers().stream().map((server) -> server.instanceRecord).toList();
	}

	@Override
	public void requestArrived(Event.RequestArrived event) {
		this.intakeSystem.onRequestArrived(event);
	}

	@Override
	public void callerDisconnected(Event.CallerDisconnected event) {
		this.attemptSystem.onCallerDisconnected(event.requestId());
	}

	@Override
	public void tokensReceived(Event.TokensReceived event) {
		this.attemptSystem.onTokensReceived(event);
	}

	@Override
	public void attemptEnded(Event.AttemptEnded event) {
		this.attemptSystem.onAttemptEnded(event);
	}

	@Override
	public void loadReported(Event.LoadReported event) {
		this.loadSystem.onLoadReported(event.report());
	}

	@Override
	public void cacheChanged(Event.CacheChanged event) {
		this.loadSystem.onCacheChanged(event);
	}

	@Override
	public void configurationReceived(Event.ConfigurationReceived event) {
		Configuration received = event.configuration();
		long current = this.context.configuration().map(Configuration::revision).orElse(0L);
		if (received.revision() <= current) {
			this.context.incrementCounter(
					(received.revision() < current) ? "old_configurations_ignored" : "same_configurations");
			return;
		}
		this.context.configuration(received);
		this.membershipSystem.onConfigurationChanged();
		this.context.emitStateChange("configuration", "revision " + received.revision() + " applied");
	}

	@Override
	public void instancesListed(Event.InstancesListed event) {
		this.membershipSystem.onInstancesListed(event.instances());
	}

	@Override
	public void drainDirectivesReceived(Event.DrainDirectivesReceived event) {
		this.membershipSystem.onDrainDirectivesReceived(event.directives());
	}

	@Override
	public void warmupRecordsReceived(Event.WarmupRecordsReceived event) {
		event.records().forEach(this.warmupSystem::onRecordReceived);
	}

	@Override
	public void storeResponseReceived(Event.StoreResponseReceived event) {
		this.context.storeOperations.complete(event.operationId(), event.response());
	}

	@Override
	public void shutdownRequested(Event.ShutdownRequested event) {
		this.intakeSystem.onShutdownRequested();
	}

	private List<WarmupRecord> warmupRecords(Predicate<ServerEntry> condition) {
		return this.context.servers.all()
			.stream()
			.filter((server) -> server.warmupRecord != null)
			.filter(condition)
			.map((server) -> server.warmupRecord)
			.toList();
	}

	private ServerStatus status(ServerEntry server) {
		int running = server.lastReport().map((report) -> report.running()).orElse(-1);
		int usedBlocks = server.lastReport().map((report) -> report.usedBlocks()).orElse(-1);
		return new ServerStatus(server.serverId, server.instanceRecord.pool(), server.instanceRecord.dataCentre(),
				server.isEligible(this.context.nowMillis), server.phase.name().toLowerCase(Locale.ROOT),
				this.warmupSystem.ownLimit(server), this.warmupSystem.totalLimit(server), server.attempts.size(),
				running, usedBlocks, server.lastReport().map((report) -> report.modelVersion()).orElse(""));
	}

}
