package org.skylarkspring.gateway.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.SplittableRandom;
import java.util.function.Predicate;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.skylarkspring.gateway.model.GenerationSize;
import org.skylarkspring.gateway.model.RequestSemantics;
import org.skylarkspring.gateway.model.RouteSpec;
import org.skylarkspring.gateway.model.ServiceSpec;
import org.skylarkspring.gateway.model.WeightedService;
import org.skylarkspring.gateway.peer.PeerDigest;
import org.skylarkspring.gateway.placement.PlacementCandidate;
import org.skylarkspring.gateway.placement.PlacementCostFunction;
import org.skylarkspring.gateway.placement.PlacementCostFunctions;
import org.skylarkspring.gateway.placement.PlacementRequest;
import org.skylarkspring.gateway.policy.KvCacheEstimator;

/**
 * Model of a deployment: many instances, each of which gets few of the requests and knows
 * the load of the others only from their last reports.
 */
final class ClusterModel {

	static final int INSTANCES = 71;

	private static final int TICK_MILLIS = 5;

	private static final long DECISION_INTERVAL_MILLIS = 25;

	private static final long REPORT_INTERVAL_MILLIS = 1_000;

	private static final long REFRESH_INTERVAL_MILLIS = 284;

	private static final long REFUSED_AT_ONCE_MILLIS = 100;

	private static final long ENGINE_RETRY_AFTER_MILLIS = 300;

	/** Time after the last deadline at which all requests must have ended. */
	private static final long MARGIN_MILLIS = 1_000;

	private static final int TOKENS_PER_EVENT = 4;

	private final boolean controlled;

	private final SplittableRandom random;

	private static final ServiceSpec SERVICE = new ServiceSpec("s", 0, Optional.empty());

	private static final RouteSpec ROUTE = new RouteSpec("r", "a", "/", RequestSemantics.STREAM, 1, 1, 1, 0,
			List.of(new WeightedService("s", 1)), 1, true);

	private final PlacementCostFunction cost = PlacementCostFunctions.leastLoaded();

	private final List<EngineModel> engines;

	private final List<Instance> instances;

	private final List<ModelRequest> all = new ArrayList<>();

	private final List<ModelRequest> dispatched = new ArrayList<>();

	private final Map<Long, List<ModelRequest>> arrivals = new HashMap<>();

	private long nowMillis;

	private long lastId;

	private int waits;

	ClusterModel(boolean controlled, int engineCount, long seed) {
		this.controlled = controlled;
		this.random = new SplittableRandom(seed);
		this.engines = IntStream.range(0, engineCount).mapToObj((index) -> new EngineModel("e" + index)).toList();
		this.instances = IntStream.range(0, INSTANCES).mapToObj((index) -> new Instance()).toList();
	}

	/**
	 * Adds requests at random times.
	 * @param kind class of the requests
	 * @param workspace the workspace
	 * @param perSecond mean rate
	 * @param fromMillis start
	 * @param toMillis end
	 */
	void addLoad(ModelRequest.Kind kind, String workspace, double perSecond, long fromMillis, long toMillis) {
		double at = fromMillis;
		while (true) {
			at += -Math.log(1 - this.random.nextDouble()) / perSecond * 1_000;
			if (at >= toMillis) {
				return;
			}
			addRequest(kind, workspace, (long) at);
		}
	}

	void addRequest(ModelRequest.Kind kind, String workspace, long atMillis) {
		int output = Math.max(1,
				(int) Math.round(kind.events() * TOKENS_PER_EVENT * (0.7 + 0.6 * this.random.nextDouble())));
		int hint = Math.max(1, (int) Math.round(output * Math.exp(0.5 * (2 * this.random.nextDouble() - 1))));
		GenerationSize size = new GenerationSize(kind.promptTokens(), 2 * kind.events() * TOKENS_PER_EVENT,
				OptionalInt.of(hint));
		ModelRequest request = new ModelRequest(kind, workspace, size, output, atMillis);
		this.all.add(request);
		arriveAt(request, atMillis);
	}

	private void arriveAt(ModelRequest request, long atMillis) {
		this.arrivals.computeIfAbsent(Math.max(1, atMillis / TICK_MILLIS), (tick) -> new ArrayList<>()).add(request);
	}

	/**
	 * Runs until all requests have ended.
	 * @return this model
	 */
	ClusterModel run() {
		long endMillis = this.all.stream().mapToLong(ModelRequest::deadlineMillis).max().orElse(0) + MARGIN_MILLIS;
		while (this.all.stream().anyMatch((request) -> request.outcome == null)) {
			if (this.nowMillis > endMillis) {
				throw new AssertionError("requests are lost");
			}
			this.nowMillis += TICK_MILLIS;
			this.engines.forEach((engine) -> engine.runUntil(this.nowMillis).forEach(this::complete));
			relayEvents();
			endOverdue();
			this.instances.forEach(Instance::onTick);
			this.arrivals.getOrDefault(this.nowMillis / TICK_MILLIS, List.of())
				.forEach((request) -> this.instances.get(this.random.nextInt(INSTANCES)).receive(request));
		}
		return this;
	}

	private void complete(ModelRequest request) {
		if (request.outcome == null) {
			instanceOf(request).release(request, true);
			request.outcome = request.isInTime() ? ModelRequest.Outcome.IN_TIME : ModelRequest.Outcome.LATE;
		}
	}

	private Instance instanceOf(ModelRequest request) {
		return this.instances.stream()
			.filter((instance) -> instance.running.contains(request))
			.findFirst()
			.orElseThrow();
	}

	private void relayEvents() {
		this.instances.forEach((instance) -> instance.running.forEach(instance::relayEvent));
	}

	private void endOverdue() {
		this.instances
			.forEach((instance) -> Stream.concat(instance.running.stream(), instance.waiting.values().stream())
				.filter((request) -> this.nowMillis >= request.deadlineMillis())
				.toList()
				.forEach((request) -> {
					request.outcome = ModelRequest.Outcome.DEADLINE_EXCEEDED;
					instance.release(request, false);
				}));
	}

	private void refuse(ModelRequest request, long retryAfterMillis) {
		long remainingMillis = request.deadlineMillis() - this.nowMillis;
		if (retryAfterMillis <= remainingMillis / 3) {
			arriveAt(request, this.nowMillis + Math.max(2L * TICK_MILLIS, retryAfterMillis));
			return;
		}
		request.outcome = (this.nowMillis - request.arrivedMillis <= REFUSED_AT_ONCE_MILLIS)
				? ModelRequest.Outcome.REFUSED_AT_ONCE : ModelRequest.Outcome.REFUSED_LATE;
	}

	long count(ModelRequest.Outcome outcome, Predicate<ModelRequest> condition) {
		return this.all.stream().filter((request) -> request.outcome == outcome).filter(condition).count();
	}

	double shareInTime(Predicate<ModelRequest> condition) {
		return (double) count(ModelRequest.Outcome.IN_TIME, condition)
				/ Math.max(1, this.all.stream().filter(condition).count());
	}

	double value() {
		return this.all.stream().mapToDouble((request) -> switch (request.outcome) {
			case IN_TIME -> request.kind.value();
			case LATE -> request.kind.lateValue();
			default -> 0;
		}).sum();
	}

	int waits() {
		return this.waits;
	}

	int preemptions() {
		return this.engines.stream().mapToInt(EngineModel::preemptions).sum();
	}

	String describe() {
		StringBuilder text = new StringBuilder(this.controlled ? "controlled" : "at once");
		Stream.of(ModelRequest.Kind.SUMMARY, ModelRequest.Kind.ANSWER).forEach((kind) -> {
			text.append("; ").append(kind.route());
			Stream.of(ModelRequest.Outcome.values())
				.forEach((outcome) -> text.append(' ')
					.append(outcome)
					.append(' ')
					.append(count(outcome, (request) -> request.kind.equals(kind))));
		});
		return text + "; value " + Math.round(value()) + ", preemptions " + preemptions() + ", waits " + this.waits;
	}

	void assertAllEnded() {
		if (this.instances.stream()
			.anyMatch((instance) -> !instance.waiting.isEmpty() || instance.control.waitingCount() > 0
					|| instance.control.runningCount() > 0)) {
			throw new AssertionError("requests remain registered");
		}
	}

	private final class Instance {

		private final AdmissionControl control = new AdmissionControl(ClusterModel.this.random::nextDouble);

		private final List<ModelRequest> running = new ArrayList<>();

		private final Map<Long, ModelRequest> waiting = new HashMap<>();

		private Map<String, Load> publishedLoads = Map.of();

		private PeerDigest publishedDigest = PeerDigest.EMPTY;

		private Map<String, Load> peerLoads = Map.of();

		private long lastReportMillis = ClusterModel.this.random.nextInt((int) REPORT_INTERVAL_MILLIS)
				- REPORT_INTERVAL_MILLIS;

		private void onTick() {
			long now = ClusterModel.this.nowMillis;
			long interval = this.waiting.isEmpty() ? REPORT_INTERVAL_MILLIS : REFRESH_INTERVAL_MILLIS;
			if (now - this.lastReportMillis >= interval) {
				report();
			}
			if (!this.waiting.isEmpty() && now % DECISION_INTERVAL_MILLIS == 0) {
				decideAll();
			}
		}

		private void report() {
			long now = ClusterModel.this.nowMillis;
			this.lastReportMillis = now;
			publish();
			this.peerLoads = new HashMap<>();
			others().forEach((other) -> other.publishedLoads
				.forEach((engine, load) -> this.peerLoads.merge(engine, load, Load::plus)));
			this.control.onPeerDigest(PeerDigest.sum(others().map((other) -> other.publishedDigest)), now);
		}

		private Stream<Instance> others() {
			return ClusterModel.this.instances.stream().filter((other) -> other != this);
		}

		private void publish() {
			this.publishedLoads = ownLoads();
			this.publishedDigest = this.control.ownDigest(ClusterModel.this.nowMillis);
		}

		private Map<String, Load> ownLoads() {
			Map<String, Load> loads = new HashMap<>();
			this.running.forEach((request) -> loads.merge(request.engine.id(), new Load(1, request.reservedTokens,
					(request.firstEventMillis < 0) ? request.kind.promptTokens() : 0), Load::plus));
			return loads;
		}

		private void receive(ModelRequest request) {
			report();
			request.arrivedMillis = ClusterModel.this.nowMillis;
			request.reservedTokens = KvCacheEstimator.estimateKvCacheTokens(request.size);
			if (!ClusterModel.this.controlled) {
				dispatch(request, (engine) -> true);
				return;
			}
			ClusterModel.this.lastId++;
			AdmissionRequest stated = toAdmission(request);
			request.reservedTokens = this.control.expectedTokens(stated, request.size, ClusterModel.this.nowMillis);
			request.admission = toAdmission(request);
			this.control.addWaiting(request.admission, String.valueOf(request.admission.id()));
			this.waiting.put(request.admission.id(), request);
			decideAll();
			ClusterModel.this.waits += this.waiting.containsKey(request.admission.id()) ? 1 : 0;
		}

		private AdmissionRequest toAdmission(ModelRequest request) {
			return new AdmissionRequest(ClusterModel.this.lastId, "s", request.kind.route(), request.workspace,
					request.priority, request.reservedTokens, request.arrivedMillis,
					request.kind.targetMillis() - (request.arrivedMillis - request.sentMillis),
					request.deadlineMillis());
		}

		private ServiceRoom room() {
			Map<String, Load> own = ownLoads();
			List<ServiceRoom.ServerRoom> servers = ClusterModel.this.engines.stream().map((engine) -> {
				Load mine = own.getOrDefault(engine.id(), Load.NONE);
				Load peers = this.peerLoads.getOrDefault(engine.id(), Load.NONE);
				return new ServiceRoom.ServerRoom(engine.id(), EngineModel.SLOTS, mine.requests(), peers.requests(),
						EngineModel.CAPACITY_TOKENS, mine.tokens(), peers.tokens());
			}).toList();
			return new ServiceRoom(servers,
					servers.stream().mapToInt((server) -> server.ownRequests() + server.peerRequests()).sum(),
					EngineModel.SLOTS * servers.size());
		}

		private void decideAll() {
			this.control.waitingInOrder((request) -> room(), ClusterModel.this.nowMillis)
				.forEach((request) -> decide(this.waiting.get(request.id())));
		}

		private void decide(ModelRequest request) {
			long now = ClusterModel.this.nowMillis;
			AdmissionDecision decision = this.control.decide(request.admission, room(), now);
			if (decision instanceof AdmissionDecision.Admit admit) {
				this.waiting.remove(request.admission.id());
				this.control.recordDispatch(request.admission, request.size, admit, now);
				request.priority = admit.isDeferred() ? 1 : 0;
				dispatch(request, (engine) -> !admit.fullServers().contains(engine.id()));
			}
			else if (decision instanceof AdmissionDecision.Refuse refuse) {
				release(request, false);
				refuse(request, refuse.retryAfterMillis());
			}
		}

		private void dispatch(ModelRequest request, Predicate<EngineModel> allowed) {
			Map<String, Load> own = ownLoads();
			request.engine = ClusterModel.this.engines.stream()
				.filter(allowed)
				.min(Comparator.comparingDouble((engine) -> cost(engine, own, request)))
				.orElseThrow();
			if (request.engine.accept(request)) {
				this.running.add(request);
				publish();
			}
			else {
				long retryAfterMillis = ClusterModel.this.controlled
						? this.control.retryAfterMillis(request.admission, room(), ClusterModel.this.nowMillis)
						: ENGINE_RETRY_AFTER_MILLIS;
				release(request, false);
				refuse(request, retryAfterMillis);
			}
		}

		private double cost(EngineModel engine, Map<String, Load> own, ModelRequest request) {
			Load load = own.getOrDefault(engine.id(), Load.NONE)
				.plus(this.peerLoads.getOrDefault(engine.id(), Load.NONE));
			return ClusterModel.this.cost.cost(
					new PlacementCandidate(engine.id(), true, load.requests(), EngineModel.SLOTS, load.tokens(),
							load.prefillTokens(), EngineModel.CAPACITY_TOKENS, 0, false, false, Optional.empty()),
					new PlacementRequest(SERVICE, ROUTE, request.reservedTokens, request.reservedTokens, 0, 0),
					Optional.empty());
		}

		private void relayEvent(ModelRequest request) {
			if (request.admission != null && request.lastEventNumber > 0) {
				OptionalLong tokens = this.control.recordEvent(request.admission.id(), request.lastEventNumber,
						ClusterModel.this.nowMillis);
				tokens.ifPresent((changed) -> request.reservedTokens = changed);
			}
		}

		private void release(ModelRequest request, boolean complete) {
			this.running.remove(request);
			if (request.engine != null) {
				request.engine.cancel(request);
			}
			if (request.admission != null) {
				this.waiting.remove(request.admission.id());
				if (complete) {
					relayEvent(request);
					this.control.recordCompletion(request.admission.id(), ClusterModel.this.nowMillis);
				}
				this.control.recordEnd(request.admission.id(), ClusterModel.this.nowMillis);
			}
		}

	}

	private record Load(int requests, long tokens, long prefillTokens) {

		private static final Load NONE = new Load(0, 0, 0);

		private Load plus(Load other) {
			return new Load(this.requests + other.requests, this.tokens + other.tokens,
					this.prefillTokens + other.prefillTokens);
		}

	}

}
