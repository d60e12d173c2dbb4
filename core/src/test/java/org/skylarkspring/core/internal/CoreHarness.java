package org.skylarkspring.core.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.skylarkspring.core.action.Action;
import org.skylarkspring.core.config.Configuration;
import org.skylarkspring.core.config.DataCentreConfiguration;
import org.skylarkspring.core.config.PoolConfiguration;
import org.skylarkspring.core.config.ServiceConfiguration;
import org.skylarkspring.core.config.ServiceKind;
import org.skylarkspring.core.config.WorkspaceConfiguration;
import org.skylarkspring.core.event.Event;
import org.skylarkspring.core.model.AttemptResult;
import org.skylarkspring.core.model.InstanceRecord;
import org.skylarkspring.core.model.InstanceRole;
import org.skylarkspring.core.model.InstanceState;
import org.skylarkspring.core.model.LoadReport;
import org.skylarkspring.core.model.Outcome;
import org.skylarkspring.core.model.RequestSpec;
import org.skylarkspring.core.model.RequestSpecBuilder;
import org.skylarkspring.core.model.StoreResponse;
import org.skylarkspring.core.model.WarmupRecord;
import org.skylarkspring.core.model.WorkClass;
import org.skylarkspring.core.policy.CorePolicy;

/**
 * Test fixture with a core and warm servers; the tests supply the events and the time.
 */
final class CoreHarness {

	static final String GENERATION_SERVICE = "inyigisho";

	static final String PLAIN_SERVICE = "inguzanyo";

	static final long EPOCH_MILLIS = 1_800_000_000_000L;

	private static final long WARMED_UP_HEALTHY_MILLIS = 1_000_000;

	final CorePipeline pipeline = new CorePipeline("entry-1", "kigali-a", CorePolicy.builder().build(), 7);

	final List<Action> emittedActions = new ArrayList<>();

	long nowMillis = 1_000;

	private final List<InstanceRecord> instances;

	private long lastRequestId;

	CoreHarness(int serversPerPool) {
		this.instances = Stream
			.concat(Stream.of(entryInstance("entry-1")),
					IntStream.range(0, serversPerPool)
						.boxed()
						.flatMap((index) -> Stream.of(backendServer(GENERATION_SERVICE, index),
								backendServer(PLAIN_SERVICE, index))))
			.toList();
		step(new Event.ConfigurationReceived(configuration(1)));
		listInstances(InstanceState.LIVE);
		step(new Event.WarmupRecordsReceived(this.instances.stream()
			.map((instance) -> new WarmupRecord(instance.instanceId(), 1, 0, WARMED_UP_HEALTHY_MILLIS))
			.toList()));
		reportAllLoads(1);
		this.emittedActions.clear();
	}

	static Configuration configuration(long revision) {
		PoolConfiguration generationPool = new PoolConfiguration(GENERATION_SERVICE, List.of("kigali-a"), 60_000, 2, 32,
				7, "", 0, 1);
		PoolConfiguration plainPool = new PoolConfiguration(PLAIN_SERVICE, List.of("kigali-a"), 60_000, 2, 32, 7, "", 0,
				1);
		ServiceConfiguration generationService = new ServiceConfiguration(GENERATION_SERVICE, ServiceKind.GENERATION,
				GENERATION_SERVICE, 1_800, 66, 5_000, 1_000, 86_400_000);
		ServiceConfiguration plainService = new ServiceConfiguration(PLAIN_SERVICE, ServiceKind.PLAIN, PLAIN_SERVICE,
				1_800, 66, 5_000, 1_000, 86_400_000);
		WorkspaceConfiguration workspace = new WorkspaceConfiguration("plans", "digest", 1, WorkClass.INTERACTIVE,
				List.of(GENERATION_SERVICE, PLAIN_SERVICE));
		return new Configuration(revision, "p" + revision, List.of(generationService, plainService),
				List.of(generationPool, plainPool), List.of(workspace),
				List.of(new DataCentreConfiguration("kigali-a", "kigali")));
	}

	static String issueIdempotencyKey(long issuedAtEpochMillis) {
		return String.format("%08x-%04x-7000-8000-000000000001", issuedAtEpochMillis >>> 16,
				issuedAtEpochMillis & 0xffff);
	}

	static RequestSpecBuilder generationRequest() {
		return RequestSpec.builder(GENERATION_SERVICE, "plans").promptTokens(100).deadlineMillis(1_800);
	}

	static RequestSpecBuilder keyedRequest(String key) {
		return RequestSpec.builder(PLAIN_SERVICE, "plans")
			.streamed(false)
			.idempotent(false)
			.idempotencyKey(key)
			.bodyDigest("body")
			.receivedAtEpochMillis(EPOCH_MILLIS);
	}

	List<Action> step(Event... events) {
		List<Action> emitted = this.pipeline.step(List.of(events), this.nowMillis);
		this.emittedActions.addAll(emitted);
		return emitted;
	}

	void advanceTime(long millis) {
		long end = this.nowMillis + millis;
		while (this.nowMillis < end) {
			this.nowMillis = Math.min(end, this.nowMillis + 100);
			step();
		}
	}

	long sendRequest(RequestSpecBuilder spec) {
		this.lastRequestId++;
		step(new Event.RequestArrived(this.lastRequestId, spec.build()));
		return this.lastRequestId;
	}

	void listInstances(InstanceState backendState) {
		step(new Event.InstancesListed(this.instances.stream()
			.map((instance) -> (instance.role() == InstanceRole.ENTRY) ? instance
					: new InstanceRecord(instance.instanceId(), instance.role(), instance.pool(), instance.dataCentre(),
							instance.address(), backendState))
			.toList()));
	}

	void reportLoad(String serverId, long incarnation, int running, double stepMillis) {
		int blocks = serverId.startsWith(GENERATION_SERVICE) ? 2_600 : 0;
		step(new Event.LoadReported(new LoadReport(serverId, incarnation, this.nowMillis, running, 0, 0, blocks,
				(blocks > 0) ? 16 : 0, stepMillis, 0, "", false)));
	}

	void reportAllLoads(long incarnation) {
		this.instances.stream()
			.filter((instance) -> instance.role() == InstanceRole.BACKEND)
			.forEach((instance) -> reportLoad(instance.instanceId(), incarnation, 0, 0));
	}

	void failAttempt(Action.Dispatch dispatch, AttemptResult.Failed failure) {
		step(new Event.AttemptEnded(dispatch.attemptId(), failure));
	}

	List<Action.Dispatch> dispatches() {
		return emittedActions(Action.Dispatch.class);
	}

	Action.Dispatch lastDispatch() {
		List<Action.Dispatch> dispatches = dispatches();
		return dispatches.get(dispatches.size() - 1);
	}

	Outcome outcomeOf(long requestId) {
		return emittedActions(Action.FinishRequest.class).stream()
			.filter((finish) -> finish.requestId() == requestId)
			.map(Action.FinishRequest::outcome)
			.reduce((first, second) -> {
				throw new AssertionError("more than one final response for request " + requestId);
			})
			.orElseThrow(() -> new AssertionError("no final response for request " + requestId));
	}

	boolean isFinished(long requestId) {
		return emittedActions(Action.FinishRequest.class).stream()
			.anyMatch((finish) -> finish.requestId() == requestId);
	}

	<T extends Action> List<T> emittedActions(Class<T> type) {
		return this.emittedActions.stream().filter(type::isInstance).map(type::cast).toList();
	}

	Action.StoreWrite lastStoreWrite() {
		List<Action.StoreWrite> writes = emittedActions(Action.StoreWrite.class);
		return writes.get(writes.size() - 1);
	}

	void respondToStoreWrite(Action.StoreWrite write, StoreResponse response) {
		step(new Event.StoreResponseReceived(write.operationId(), response));
	}

	private static InstanceRecord entryInstance(String name) {
		return new InstanceRecord(name, InstanceRole.ENTRY, "", "kigali-a", name, InstanceState.LIVE);
	}

	private static InstanceRecord backendServer(String pool, int index) {
		String name = pool + "-" + index;
		return new InstanceRecord(name, InstanceRole.BACKEND, pool, "kigali-a", name, InstanceState.LIVE);
	}

}
