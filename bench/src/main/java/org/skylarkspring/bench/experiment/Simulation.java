package org.skylarkspring.bench.experiment;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;
import java.util.stream.Stream;

import org.skylarkspring.core.DecisionCore;
import org.skylarkspring.core.event.Event;
import org.skylarkspring.core.model.DrainDirective;
import org.skylarkspring.core.model.InstanceRecord;
import org.skylarkspring.core.model.InstanceRole;
import org.skylarkspring.core.model.InstanceState;
import org.skylarkspring.core.model.WarmupRecord;
import org.skylarkspring.core.policy.CorePolicy;

/**
 * Simulates one deployment on a virtual clock.
 */
public final class Simulation {

	/** Interval within which the state of one instance reaches the others by gossip. */
	private static final long GOSSIP_INTERVAL_MICROS = 500 * VirtualClock.MICROS_PER_MILLI;

	private static final long FULLY_WARM_MILLIS = 10_000_000;

	private final VirtualClock clock = new VirtualClock();

	private final Deployment deployment;

	private final CorePolicy policy;

	private final long seed;

	private final Map<String, SimulatedEngine> engines = new LinkedHashMap<>();

	private final Map<String, SimulatedPlainService> plainServices = new LinkedHashMap<>();

	private final List<SimulatedEntryInstance> entryInstances = new ArrayList<>();

	private final List<InstanceRecord> entryRecords = new ArrayList<>();

	private final SimulatedStore store = new SimulatedStore(this.clock);

	private final MetricsRecorder recorder;

	private long directiveCounter;

	/**
	 * Creates a simulation whose engines are warm.
	 * @param deployment deployment to simulate
	 * @param policy policy of all entry instances
	 * @param seed seed of all random choices
	 * @param measurementStartMillis start of the measurement period, in milliseconds of
	 * simulated time
	 * @param measurementEndMillis end of the measurement period, in milliseconds of
	 * simulated time
	 */
	public Simulation(Deployment deployment, CorePolicy policy, long seed, long measurementStartMillis,
			long measurementEndMillis) {
		this.deployment = deployment;
		this.policy = policy;
		this.seed = seed;
		this.recorder = new MetricsRecorder(this.clock, measurementStartMillis, measurementEndMillis);
		for (int index = 0; index < deployment.engineCount(); index++) {
			String name = "engine-" + index;
			this.engines.put(name, new SimulatedEngine(this.clock, name, deployment.service(),
					deployment.dataCentreAt(index), deployment.engineProfile(), seed + index));
		}
		SimulatedPlainService plainService = new SimulatedPlainService(this.clock, "plain-0", Deployment.PLAIN_SERVICE,
				deployment.dataCentreAt(0), seed);
		this.plainServices.put("plain-0", plainService);
		for (int index = 0; index < deployment.entryInstanceCount(); index++) {
			addEntryInstance("entry-" + index, deployment.dataCentreAt(index));
		}
		publishInstances();
		List<WarmupRecord> warmRecords = Stream
			.concat(this.engines.keySet().stream(), this.plainServices.keySet().stream())
			.map((name) -> new WarmupRecord(name, 1, 0, FULLY_WARM_MILLIS))
			.toList();
		this.entryInstances.forEach((entry) -> entry.post(new Event.WarmupRecordsReceived(warmRecords)));
		this.clock.schedulePeriodically(GOSSIP_INTERVAL_MICROS, GOSSIP_INTERVAL_MICROS, this::exchangeWarmupRecords);
	}

	/**
	 * Returns the virtual clock.
	 * @return the clock
	 */
	public VirtualClock clock() {
		return this.clock;
	}

	/**
	 * Returns the simulated deployment.
	 * @return the deployment
	 */
	public Deployment deployment() {
		return this.deployment;
	}

	/**
	 * Returns the simulated object store.
	 * @return the store
	 */
	public SimulatedStore store() {
		return this.store;
	}

	/**
	 * Returns the recorder of the callers' requests and outcomes.
	 * @return the metrics recorder
	 */
	public MetricsRecorder recorder() {
		return this.recorder;
	}

	/**
	 * Returns the engines.
	 * @return the engines in the order of their creation
	 */
	public List<SimulatedEngine> engines() {
		return List.copyOf(this.engines.values());
	}

	/**
	 * Returns the plain service.
	 * @return the service
	 */
	public SimulatedPlainService plainService() {
		return this.plainServices.get("plain-0");
	}

	/**
	 * Returns the entry instances, including killed ones.
	 * @return the instances in the order of their creation
	 */
	public List<SimulatedEntryInstance> entryInstances() {
		return List.copyOf(this.entryInstances);
	}

	/**
	 * Drains or restores a data centre through one entry instance; the others receive the
	 * directive by gossip.
	 * @param dataCentre name of the data centre
	 * @param drained {@code true} to drain the data centre, {@code false} to restore it
	 */
	public void setDataCentreDraining(String dataCentre, boolean drained) {
		this.directiveCounter++;
		DrainDirective directive = new DrainDirective(DrainDirective.TargetKind.DATA_CENTRE, dataCentre, drained,
				this.directiveCounter, "entry-0");
		for (int index = 0; index < this.entryInstances.size(); index++) {
			SimulatedEntryInstance entry = this.entryInstances.get(index);
			this.clock.schedule(index * GOSSIP_INTERVAL_MICROS / 4,
					() -> entry.post(new Event.DrainDirectivesReceived(List.of(directive))));
		}
	}

	/**
	 * Returns the engines of a data centre.
	 * @param dataCentre name of the data centre
	 * @return its engines
	 */
	public List<SimulatedEngine> enginesInDataCentre(String dataCentre) {
		return engines().stream().filter((engine) -> engine.instanceRecord().dataCentre().equals(dataCentre)).toList();
	}

	/** Publishes the list of live instances to all entry instances. */
	public void publishInstances() {
		List<InstanceRecord> instanceRecords = instanceRecords();
		this.entryInstances.forEach((entry) -> entry.post(new Event.InstancesListed(instanceRecords)));
	}

	/**
	 * Returns the instance list as the platform would return it.
	 * @return records of all live instances
	 */
	public List<InstanceRecord> instanceRecords() {
		List<InstanceRecord> instanceRecords = new ArrayList<>();
		for (int index = 0; index < this.entryInstances.size(); index++) {
			if (this.entryInstances.get(index).isAlive()) {
				instanceRecords.add(this.entryRecords.get(index));
			}
		}
		this.engines.values().forEach((engine) -> instanceRecords.add(engine.instanceRecord()));
		this.plainServices.values().forEach((plainService) -> instanceRecords.add(plainService.instanceRecord()));
		return instanceRecords;
	}

	SplittableRandom createRandom() {
		return new SplittableRandom(this.seed * 31 + 7);
	}

	private SimulatedEntryInstance addEntryInstance(String name, String dataCentre) {
		DecisionCore core = DecisionCore.builder(name, dataCentre)
			.policy(this.policy)
			.seed(this.seed + name.hashCode())
			.build();
		SimulatedEntryInstance entry = new SimulatedEntryInstance(this.clock, core, this.engines, this.plainServices,
				this.store, this.recorder, this.deployment.pollIntervalMillis() * VirtualClock.MICROS_PER_MILLI,
				1 + Math.abs(name.hashCode() * 7_919L) % 500_000);
		this.entryInstances.add(entry);
		this.entryRecords.add(new InstanceRecord(name, InstanceRole.ENTRY, "", dataCentre, name, InstanceState.LIVE));
		entry.post(new Event.ConfigurationReceived(this.deployment.configuration()));
		return entry;
	}

	private void exchangeWarmupRecords() {
		List<WarmupRecord> warmupRecords = this.entryInstances.stream()
			.filter(SimulatedEntryInstance::isAlive)
			.flatMap((entry) -> entry.core().warmupRecords().stream())
			.filter((warmupRecord) -> warmupRecord.coldEpoch() > 0 || warmupRecord.incarnation() > 1)
			.toList();
		if (!warmupRecords.isEmpty()) {
			Stream<SimulatedEntryInstance> liveInstances = this.entryInstances.stream()
				.filter(SimulatedEntryInstance::isAlive);
			liveInstances.forEach((entry) -> entry.post(new Event.WarmupRecordsReceived(warmupRecords)));
		}
	}

}
