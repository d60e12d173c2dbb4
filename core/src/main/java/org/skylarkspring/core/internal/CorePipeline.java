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
import org.skylarkspring.core.model.Directive;
import org.skylarkspring.core.model.InstanceRecord;
import org.skylarkspring.core.model.RampRecord;
import org.skylarkspring.core.model.ServerStatus;
import org.skylarkspring.core.policy.CorePolicy;

/**
 * Applies events to the tables and runs the systems over them in a fixed order.
 */
public final class CorePipeline implements EventHandler {

	private final CoreContext context;

	private final DelayedTasks delayed;

	private final MembershipSystem membership;

	private final LeaseSystem leases;

	private final RampSystem ramps;

	private final LoadSystem loads;

	private final OrderSystem orders;

	private final QueueSystem queue;

	private final IntakeSystem intake;

	private final PlacementSystem placement;

	private final AttemptSystem attempts;

	/**
	 * Creates a pipeline with empty tables.
	 * @param instanceId unique name of the entry instance
	 * @param dataCentre data centre of the entry instance
	 * @param policy the policy
	 * @param seed seed of all random choices
	 */
	public CorePipeline(String instanceId, String dataCentre, CorePolicy policy, long seed) {
		this.context = new CoreContext(instanceId, dataCentre, policy, seed);
		this.delayed = new DelayedTasks(this.context);
		this.membership = new MembershipSystem(this.context);
		this.leases = new LeaseSystem(this.context);
		this.ramps = new RampSystem(this.context, this.leases);
		this.loads = new LoadSystem(this.context, this.ramps);
		this.orders = new OrderSystem(this.context, this.leases);
		ClaimSystem claims = new ClaimSystem(this.context, this.delayed);
		FinishSystem finish = new FinishSystem(this.context, claims);
		this.queue = new QueueSystem(this.context, finish);
		this.intake = new IntakeSystem(this.context, this.queue, claims, finish, this.delayed);
		this.placement = new PlacementSystem(this.context, this.membership, this.queue, this.loads, this.ramps);
		this.attempts = new AttemptSystem(this.context, this.queue, this.placement, claims, finish);
	}

	/**
	 * Applies events and runs all systems that are due.
	 * @param events events in the order of their arrival, not {@code null}
	 * @param nowMillis time on a clock that never runs backwards
	 * @return actions to carry out in order
	 * @throws IllegalArgumentException if the time runs backwards
	 */
	public List<Action> step(List<Event> events, long nowMillis) {
		Objects.requireNonNull(events, "events must not be null");
		if (nowMillis < this.context.nowMillis) {
			throw new IllegalArgumentException("time runs backwards: " + nowMillis);
		}
		this.context.nowMillis = nowMillis;
		events.forEach((event) -> event.handOver(this));
		this.delayed.tick();
		this.membership.tick();
		this.ramps.tick();
		this.orders.tick();
		this.leases.tick();
		this.loads.tick();
		this.attempts.tick();
		this.queue.tick();
		this.placement.tick();
		this.intake.tick();
		return this.context.takeActions();
	}

	/**
	 * Returns the configuration in force.
	 * @return the configuration, empty until one was offered
	 */
	public Optional<Configuration> configuration() {
		return this.context.configuration();
	}

	/**
	 * Returns all directives known.
	 * @return a snapshot
	 */
	public List<Directive> directives() {
		return this.context.directives.all();
	}

	/**
	 * Returns the warm-up state of all servers with a known incarnation.
	 * @return a snapshot
	 */
	public List<RampRecord> ramps() {
		return ramps((server) -> true);
	}

	/**
	 * Returns the warm-up state of the servers that are not warm.
	 * @return a snapshot
	 */
	public List<RampRecord> warmingRamps() {
		return ramps((server) -> server.phase != ServerPhase.WARM);
	}

	/**
	 * Returns counters and sizes.
	 * @return a snapshot
	 */
	public CoreStatus status() {
		long revision = this.context.configuration().map(Configuration::revision).orElse(0L);
		List<ServerStatus> servers = this.context.servers.all().stream().map(this::status).toList();
		return new CoreStatus(revision, this.context.queuedRequests(), this.context.requests.size(),
				this.context.shuttingDown, Map.copyOf(this.context.counters), servers);
	}

	/**
	 * Returns the addresses of the servers whose load this instance needs.
	 * @return rows of the platform's list
	 */
	public List<InstanceRecord> polledServers() {
		return this.membership.selected().stream().map((server) -> server.listing).toList();
	}

	@Override
	public void requestArrived(Event.RequestArrived event) {
		this.intake.arrived(event);
	}

	@Override
	public void callerDisconnected(Event.CallerDisconnected event) {
		this.attempts.callerDisconnected(event.requestId());
	}

	@Override
	public void tokensReceived(Event.TokensReceived event) {
		this.attempts.tokensReceived(event);
	}

	@Override
	public void attemptEnded(Event.AttemptEnded event) {
		this.attempts.ended(event);
	}

	@Override
	public void loadReported(Event.LoadReported event) {
		this.loads.reported(event.report());
	}

	@Override
	public void cacheChanged(Event.CacheChanged event) {
		this.loads.cacheChanged(event);
	}

	@Override
	public void configurationOffered(Event.ConfigurationOffered event) {
		Configuration offered = event.configuration();
		long current = this.context.configuration().map(Configuration::revision).orElse(0L);
		if (offered.revision() <= current) {
			this.context.count((offered.revision() < current) ? "old_configurations_ignored" : "same_configurations");
			return;
		}
		this.context.configuration(offered);
		this.membership.configured();
		this.context.changed("configuration", "revision " + offered.revision() + " in force");
	}

	@Override
	public void instancesListed(Event.InstancesListed event) {
		this.membership.listed(event.instances());
	}

	@Override
	public void directivesOffered(Event.DirectivesOffered event) {
		this.membership.offered(event.directives());
	}

	@Override
	public void rampsOffered(Event.RampsOffered event) {
		event.ramps().forEach(this.ramps::offered);
	}

	@Override
	public void storeAnswered(Event.StoreAnswered event) {
		this.context.store.answered(event.operationId(), event.answer());
	}

	@Override
	public void shutdownRequested(Event.ShutdownRequested event) {
		this.intake.shutdownRequested();
	}

	private List<RampRecord> ramps(Predicate<ServerEntry> condition) {
		return this.context.servers.all()
			.stream()
			.filter((server) -> server.ramp != null)
			.filter(condition)
			.map((server) -> server.ramp)
			.toList();
	}

	private ServerStatus status(ServerEntry server) {
		int running = server.report().map((report) -> report.running()).orElse(-1);
		int usedBlocks = server.report().map((report) -> report.usedBlocks()).orElse(-1);
		return new ServerStatus(server.serverId, server.listing.pool(), server.listing.dataCentre(),
				server.mayReceive(this.context.nowMillis), server.phase.name().toLowerCase(Locale.ROOT),
				this.ramps.ownLimit(server), this.ramps.totalLimit(server), server.attempts.size(), running, usedBlocks,
				server.report().map((report) -> report.modelVersion()).orElse(""));
	}

}
