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
import org.skylarkspring.core.config.PoolPolicy;
import org.skylarkspring.core.config.ServicePolicy;
import org.skylarkspring.core.config.WorkspacePolicy;
import org.skylarkspring.core.model.InstanceRecord;
import org.skylarkspring.core.policy.CorePolicy;

/**
 * All tables of one core and the time of the current step.
 */
final class CoreContext {

	final String instanceId;

	final String dataCentre;

	final CorePolicy policy;

	final SplittableRandom random;

	final ServerTable servers = new ServerTable();

	final RequestTable requests = new RequestTable();

	final LengthTable lengths = new LengthTable();

	final DirectiveTable directives = new DirectiveTable();

	final StoreOperations store = new StoreOperations(this::emit);

	final Map<String, FairQueue> queues = new LinkedHashMap<>();

	final Map<String, Long> counters = new TreeMap<>();

	/** Live entry instances in the platform's list, leaving ones included. */
	List<InstanceRecord> entryInstances = List.of();

	long nowMillis;

	boolean shuttingDown;

	private Configuration configuration;

	private Map<String, ServicePolicy> services = Map.of();

	private Map<String, PoolPolicy> pools = Map.of();

	private Map<String, WorkspacePolicy> workspaces = Map.of();

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

	void count(String counter) {
		this.counters.merge(counter, 1L, Long::sum);
	}

	void changed(String subject, String change) {
		emit(new Action.StateChanged(subject, change));
	}

	List<Action> takeActions() {
		List<Action> taken = this.actions;
		this.actions = new ArrayList<>();
		return taken;
	}

	long nextAttemptId() {
		this.lastAttemptId++;
		return this.lastAttemptId;
	}

	FairQueue queue(String service) {
		return this.queues.computeIfAbsent(service, (name) -> new FairQueue(this.policy.fairQueueing()));
	}

	int queuedRequests() {
		return this.queues.values().stream().mapToInt(FairQueue::size).sum();
	}

	Optional<Configuration> configuration() {
		return Optional.ofNullable(this.configuration);
	}

	void configuration(Configuration applied) {
		this.configuration = applied;
		this.services = byName(applied.services(), ServicePolicy::name);
		this.pools = byName(applied.pools(), PoolPolicy::name);
		this.workspaces = byName(applied.workspaces(), WorkspacePolicy::name);
	}

	Optional<ServicePolicy> service(String name) {
		return Optional.ofNullable(this.services.get(name));
	}

	Optional<PoolPolicy> pool(String name) {
		return Optional.ofNullable(this.pools.get(name));
	}

	Optional<WorkspacePolicy> workspace(String name) {
		return Optional.ofNullable(this.workspaces.get(name));
	}

	private static <T> Map<String, T> byName(List<T> items, Function<T, String> name) {
		return items.stream().collect(Collectors.toMap(name, Function.identity(), (first, second) -> first));
	}

}
