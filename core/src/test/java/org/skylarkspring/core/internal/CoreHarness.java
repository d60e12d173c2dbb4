package org.skylarkspring.core.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;
import java.util.stream.Stream;

import org.skylarkspring.core.action.Action;
import org.skylarkspring.core.config.Configuration;
import org.skylarkspring.core.config.DataCentrePolicy;
import org.skylarkspring.core.config.PoolPolicy;
import org.skylarkspring.core.config.ServiceKind;
import org.skylarkspring.core.config.ServicePolicy;
import org.skylarkspring.core.config.WorkspacePolicy;
import org.skylarkspring.core.event.Event;
import org.skylarkspring.core.model.AttemptResult;
import org.skylarkspring.core.model.InstanceRecord;
import org.skylarkspring.core.model.InstanceRole;
import org.skylarkspring.core.model.InstanceState;
import org.skylarkspring.core.model.LoadReport;
import org.skylarkspring.core.model.Outcome;
import org.skylarkspring.core.model.RampRecord;
import org.skylarkspring.core.model.RequestSpec;
import org.skylarkspring.core.model.RequestSpecBuilder;
import org.skylarkspring.core.model.StoreAnswer;
import org.skylarkspring.core.model.WorkClass;
import org.skylarkspring.core.policy.CorePolicy;

/**
 * One core with warm servers, driven by hand.
 */
final class CoreHarness {

	static final String MODEL = "inyigisho";

	static final String PLAIN = "inguzanyo";

	static final long EPOCH_MILLIS = 1_800_000_000_000L;

	private static final long WARM_MILLIS = 1_000_000;

	final CorePipeline core = new CorePipeline("entry-1", "kigali-a", CorePolicy.builder().build(), 7);

	final List<Action> actions = new ArrayList<>();

	long nowMillis = 1_000;

	private final List<InstanceRecord> rows;

	private long lastRequestId;

	CoreHarness(int servers) {
		this.rows = Stream
			.concat(Stream.of(entry("entry-1")),
					IntStream.range(0, servers)
						.boxed()
						.flatMap((index) -> Stream.of(server(MODEL, index), server(PLAIN, index))))
			.toList();
		step(new Event.ConfigurationOffered(configuration(1)));
		list(InstanceState.LIVE);
		step(new Event.RampsOffered(
				this.rows.stream().map((row) -> new RampRecord(row.instanceId(), 1, 0, WARM_MILLIS)).toList()));
		reportAll(1);
		this.actions.clear();
	}

	static Configuration configuration(long revision) {
		PoolPolicy pool = new PoolPolicy(MODEL, List.of("kigali-a"), 60_000, 2, 32, 7, "", 0, 1);
		PoolPolicy plainPool = new PoolPolicy(PLAIN, List.of("kigali-a"), 60_000, 2, 32, 7, "", 0, 1);
		ServicePolicy model = new ServicePolicy(MODEL, ServiceKind.GENERATION, MODEL, 1_800, 66, 5_000, 1_000,
				86_400_000);
		ServicePolicy plain = new ServicePolicy(PLAIN, ServiceKind.PLAIN, PLAIN, 1_800, 66, 5_000, 1_000, 86_400_000);
		WorkspacePolicy workspace = new WorkspacePolicy("plans", "digest", 1, WorkClass.INTERACTIVE,
				List.of(MODEL, PLAIN));
		return new Configuration(revision, "p" + revision, List.of(model, plain), List.of(pool, plainPool),
				List.of(workspace), List.of(new DataCentrePolicy("kigali-a", "kigali")));
	}

	static String key(long issuedAtEpochMillis) {
		return String.format("%08x-%04x-7000-8000-000000000001", issuedAtEpochMillis >>> 16,
				issuedAtEpochMillis & 0xffff);
	}

	static RequestSpecBuilder generation() {
		return RequestSpec.builder(MODEL, "plans").promptTokens(100).deadlineMillis(1_800);
	}

	static RequestSpecBuilder booking(String key) {
		return RequestSpec.builder(PLAIN, "plans")
			.streamed(false)
			.repeatable(false)
			.idempotencyKey(key)
			.bodyDigest("body")
			.receivedAtEpochMillis(EPOCH_MILLIS);
	}

	List<Action> step(Event... events) {
		List<Action> emitted = this.core.step(List.of(events), this.nowMillis);
		this.actions.addAll(emitted);
		return emitted;
	}

	void pass(long millis) {
		long end = this.nowMillis + millis;
		while (this.nowMillis < end) {
			this.nowMillis = Math.min(end, this.nowMillis + 100);
			step();
		}
	}

	long send(RequestSpecBuilder spec) {
		this.lastRequestId++;
		step(new Event.RequestArrived(this.lastRequestId, spec.build()));
		return this.lastRequestId;
	}

	void list(InstanceState backendState) {
		step(new Event.InstancesListed(this.rows.stream()
			.map((row) -> (row.role() == InstanceRole.ENTRY) ? row
					: new InstanceRecord(row.instanceId(), row.role(), row.pool(), row.dataCentre(), row.address(),
							backendState))
			.toList()));
	}

	void report(String serverId, long incarnation, int running, double stepMillis) {
		int blocks = serverId.startsWith(MODEL) ? 2_600 : 0;
		step(new Event.LoadReported(new LoadReport(serverId, incarnation, this.nowMillis, running, 0, 0, blocks,
				(blocks > 0) ? 16 : 0, stepMillis, 0, "", false)));
	}

	void reportAll(long incarnation) {
		this.rows.stream()
			.filter((row) -> row.role() == InstanceRole.BACKEND)
			.forEach((row) -> report(row.instanceId(), incarnation, 0, 0));
	}

	void fail(Action.Dispatch dispatch, AttemptResult.Failed failure) {
		step(new Event.AttemptEnded(dispatch.attemptId(), failure));
	}

	List<Action.Dispatch> dispatches() {
		return emitted(Action.Dispatch.class);
	}

	Action.Dispatch lastDispatch() {
		List<Action.Dispatch> all = dispatches();
		return all.get(all.size() - 1);
	}

	Outcome outcome(long requestId) {
		return emitted(Action.FinishRequest.class).stream()
			.filter((finish) -> finish.requestId() == requestId)
			.map(Action.FinishRequest::outcome)
			.reduce((first, second) -> {
				throw new AssertionError("two final answers for request " + requestId);
			})
			.orElseThrow(() -> new AssertionError("no final answer for request " + requestId));
	}

	boolean finished(long requestId) {
		return emitted(Action.FinishRequest.class).stream().anyMatch((finish) -> finish.requestId() == requestId);
	}

	<T extends Action> List<T> emitted(Class<T> type) {
		return this.actions.stream().filter(type::isInstance).map(type::cast).toList();
	}

	Action.StoreWrite lastWrite() {
		List<Action.StoreWrite> writes = emitted(Action.StoreWrite.class);
		return writes.get(writes.size() - 1);
	}

	void answer(Action.StoreWrite write, StoreAnswer answer) {
		step(new Event.StoreAnswered(write.operationId(), answer));
	}

	private static InstanceRecord entry(String name) {
		return new InstanceRecord(name, InstanceRole.ENTRY, "", "kigali-a", name, InstanceState.LIVE);
	}

	private static InstanceRecord server(String pool, int index) {
		String name = pool + "-" + index;
		return new InstanceRecord(name, InstanceRole.BACKEND, pool, "kigali-a", name, InstanceState.LIVE);
	}

}
