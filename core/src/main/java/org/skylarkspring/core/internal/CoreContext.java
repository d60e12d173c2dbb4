package org.skylarkspring.core.internal;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.TreeMap;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.skylarkspring.core.action.Action;
import org.skylarkspring.core.config.Configuration;
import org.skylarkspring.core.config.PoolConfiguration;
import org.skylarkspring.core.config.ServiceConfiguration;
import org.skylarkspring.core.config.WorkspaceConfiguration;
import org.skylarkspring.core.model.InstanceRecord;
import org.skylarkspring.core.policy.CorePolicy;

/**
 * State shared by the systems of one core: the tables, the configuration, the actions
 * emitted in the current step and its time.
 */
final class CoreContext {

	final String instanceId;

	final String dataCentre;

	final CorePolicy policy;

	final SplittableRandom random;

	final ServerTable servers = new ServerTable();

	final RequestTable requests = new RequestTable();

	final OutputLengthTable outputLengths = new OutputLengthTable();

	final DrainDirectiveTable drainDirectives = new DrainDirectiveTable();

	final PendingStoreOperations storeOperations = new PendingStoreOperations(this::emit);

	final Map<String, WeightedFairQueue> queues = new LinkedHashMap<>();

	final Map<String, Long> counters = new TreeMap<>();

	/** Entry instances in the platform's list, including those that are leaving. */
	List<InstanceRecord> entryInstances = List.of();

	long nowMillis;

	boolean shuttingDown;

	private Configuration configuration;

	private Map<String, ServiceConfiguration> services = Map.of();

	private Map<String, PoolConfiguration> pools = Map.of();

	private Map<String, WorkspaceConfiguration> workspaces = Map.of();

	private List<Action> actions = new ArrayList<>();

	private long lastAttemptId;

	CoreContext(String instanceId, String dataCentre, CorePolicy policy, long seed) {
		this.instanceId = instanceId;
		this.dataCentre = dataCentre;
		this.policy = policy;
		this.random = new SplittableRandom(seed ^ instanceId.hashCode());
	}

	void emit(Action action) {
		this.actions.add(action);
	}

	void incrementCounter(String counter) {
		this.counters.merge(counter, 1L, Long::sum);
	}

	void emitStateChange(String subject, String change) {
		emit(new Action.StateChanged(subject, change));
	}

	List<Action> drainActions() {
		List<Action> emitted = this.actions;
		this.actions = new ArrayList<>();
		return emitted;
	}

	long nextAttemptId() {
		this.lastAttemptId++;
		return this.lastAttemptId;
	}

	WeightedFairQueue queueFor(String service) {
		return this.queues.computeIfAbsent(service, (name) -> new WeightedFairQueue(this.policy.fairQueueing()));
	}

	int queuedRequests() {
		return this.queues.values().stream().mapToInt(WeightedFairQueue::size).sum();
	}

	Optional<Configuration> configuration() {
		return Optional.ofNullable(this.configuration);
	}

	void configuration(Configuration received) {
		this.configuration = received;
		this.services = indexByName(received.services(), ServiceConfiguration::name);
		this.pools = indexByName(received.pools(), PoolConfiguration::name);
		this.workspaces = indexByName(received.workspaces(), WorkspaceConfiguration::name);
	}

	Optional<ServiceConfiguration> service(String name) {
		return Optional.ofNullable(this.services.get(name));
	}

	Optional<PoolConfiguration> pool(String name) {
		return Optional.ofNullable(this.pools.get(name));
	}

	Optional<WorkspaceConfiguration> workspace(String name) {
		return Optional.ofNullable(this.workspaces.get(name));
	}

	private static <T> Map<String, T> indexByName(List<T> items, Function<T, String> name) {
		return items.stream().collect(Collectors.toMap(name, Function.identity(), (first, second) -> first));
	}

}
