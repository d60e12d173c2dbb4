package org.skylarkspring.bench.capacity;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.IntStream;

import org.skylarkspring.core.DecisionCore;
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
import org.skylarkspring.core.model.RequestSpec;
import org.skylarkspring.core.model.WarmupRecord;
import org.skylarkspring.core.model.WorkClass;

/**
 * Drives a decision core in a fleet of a given size. All servers are warm, and the polled
 * ones report their load.
 */
public final class DecisionCoreFixture {

	private static final int MODEL_COUNT = 8;

	private static final int DATA_CENTRE_COUNT = 13;

	private static final int REGION_COUNT = 4;

	private static final long FULLY_WARM_MILLIS = 10_000_000;

	private final int workspaceCount;

	private final DecisionCore core = DecisionCore.builder("entry-0", "dc-0").seed(1).build();

	private final List<Action.Dispatch> openDispatches = new ArrayList<>();

	private long nowMillis = 1_000;

	private long lastRequestId;

	/**
	 * Creates a core, configures it and reports idle load for all polled servers.
	 * @param servers number of backend servers in the fleet
	 * @param workspaceCount number of workspaces
	 * @param entries number of entry instances
	 */
	public DecisionCoreFixture(int servers, int workspaceCount, int entries) {
		this.workspaceCount = workspaceCount;
		step(new Event.ConfigurationReceived(configuration(workspaceCount)));
		step(new Event.InstancesListed(instances(servers, entries)));
		List<WarmupRecord> records = IntStream.range(0, servers)
			.mapToObj((index) -> new WarmupRecord("server-" + index, 1, 0, FULLY_WARM_MILLIS))
			.toList();
		step(new Event.WarmupRecordsReceived(records));
		reportIdleLoad();
	}

	/**
	 * Returns a configuration of a given size.
	 * @param workspaceCount number of workspaces
	 * @return the configuration
	 */
	public static Configuration configuration(int workspaceCount) {
		List<DataCentreConfiguration> dataCentres = IntStream.range(0, DATA_CENTRE_COUNT)
			.mapToObj((index) -> new DataCentreConfiguration("dc-" + index, "region-" + index % REGION_COUNT))
			.toList();
		List<String> dataCentreNames = dataCentres.stream().map(DataCentreConfiguration::name).toList();
		List<PoolConfiguration> pools = IntStream.range(0, MODEL_COUNT)
			.mapToObj((index) -> new PoolConfiguration("model-" + index, dataCentreNames, 60_000, 4, 64, 40, "", 1, 1))
			.toList();
		List<ServiceConfiguration> services = pools.stream()
			.map((pool) -> new ServiceConfiguration(pool.name(), ServiceKind.GENERATION, pool.name(), 1_800, 66, 10_000,
					262_144, 86_400_000))
			.toList();
		List<WorkspaceConfiguration> workspaces = IntStream.range(0, workspaceCount)
			.mapToObj((index) -> new WorkspaceConfiguration("workspace-" + index,
					String.format("%064x", index * 7_919L), 1, WorkClass.INTERACTIVE,
					List.of("model-" + index % MODEL_COUNT, "model-" + (index + 1) % MODEL_COUNT)))
			.toList();
		return new Configuration(1, "capacity", services, pools, workspaces, dataCentres);
	}

	/**
	 * Returns the instance records of a fleet of a given size.
	 * @param servers number of backend servers
	 * @param entries number of entry instances
	 * @return records of the backend servers, then of the entry instances
	 */
	public static List<InstanceRecord> instances(int servers, int entries) {
		List<InstanceRecord> records = new ArrayList<>();
		for (int index = 0; index < servers; index++) {
			records.add(new InstanceRecord("server-" + index, InstanceRole.BACKEND, "model-" + index % MODEL_COUNT,
					"dc-" + index / MODEL_COUNT % DATA_CENTRE_COUNT,
					"10.0." + index / 250 + "." + index % 250 + ":8000", InstanceState.LIVE));
		}
		for (int index = 0; index < entries; index++) {
			records.add(new InstanceRecord("entry-" + index, InstanceRole.ENTRY, "", "dc-" + index % DATA_CENTRE_COUNT,
					"10.1." + index / 250 + "." + index % 250 + ":8091", InstanceState.LIVE));
		}
		return records;
	}

	/**
	 * Returns the number of servers that the core polls.
	 * @return number of polled servers
	 */
	public int polledServerCount() {
		return this.core.polledServers().size();
	}

	/** Reports idle load for all polled servers. */
	public void reportIdleLoad() {
		this.nowMillis++;
		Event[] reports = this.core.polledServers()
			.stream()
			.map((server) -> new Event.LoadReported(
					new LoadReport(server.instanceId(), 1, this.nowMillis, 0, 0, 0, 2_600, 16, 30, 0, "", false)))
			.toArray(Event[]::new);
		step(reports);
	}

	/**
	 * Advances the clock and runs one step without events.
	 * @param millis time to add to the clock, in milliseconds
	 */
	public void advanceTime(long millis) {
		this.nowMillis += millis;
		step();
	}

	/**
	 * Submits one request and returns the number of actions that the core decided on.
	 * @return number of actions
	 */
	public int submitRequest() {
		this.lastRequestId++;
		int workspace = (int) (this.lastRequestId * 31 % this.workspaceCount);
		RequestSpec spec = RequestSpec.builder("model-" + workspace % MODEL_COUNT, "workspace-" + workspace)
			.promptTokens(400)
			.prefix(workspace + 1, 128)
			.build();
		return step(new Event.RequestArrived(this.lastRequestId, spec)).size();
	}

	/** Completes the oldest open request with a response of 300 tokens. */
	public void completeOldestRequest() {
		if (!this.openDispatches.isEmpty()) {
			step(new Event.AttemptEnded(this.openDispatches.remove(0).attemptId(), new AttemptResult.Generated(300)));
		}
	}

	/**
	 * Reports progress of all open requests; entry instances do this ten times a second.
	 */
	public void reportProgress() {
		Event[] events = this.openDispatches.stream()
			.map((dispatch) -> new Event.TokensReceived(dispatch.attemptId(), 10 + (int) (this.nowMillis % 200)))
			.toArray(Event[]::new);
		this.nowMillis++;
		step(events);
	}

	/**
	 * Returns the number of open requests.
	 * @return number of requests
	 */
	public int openRequestCount() {
		return this.openDispatches.size();
	}

	private List<Action> step(Event... events) {
		List<Action> actions = this.core.step(List.of(events), this.nowMillis);
		actions.stream()
			.filter(Action.Dispatch.class::isInstance)
			.map(Action.Dispatch.class::cast)
			.forEach(this.openDispatches::add);
		return actions;
	}

}
