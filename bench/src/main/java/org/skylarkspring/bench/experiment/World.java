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
 * One deployment on one virtual clock.
 */
public final class World {

	/** Time by which knowledge of one instance reaches another. */
	private static final long GOSSIP_MICROS = 500 * VirtualTime.MILLI;

	private static final long WARM_MILLIS = 10_000_000;

	private final VirtualTime time = new VirtualTime();

	private final Deployment deployment;

	private final CorePolicy policy;

	private final long seed;

	private final Map<String, EngineActor> engines = new LinkedHashMap<>();

	private final Map<String, PlainActor> plains = new LinkedHashMap<>();

	private final List<EntryActor> entries = new ArrayList<>();

	private final List<InstanceRecord> entryRows = new ArrayList<>();

	private final StoreActor store = new StoreActor(this.time);

	private final Recorder recorder;

	private long directiveCounter;

	/**
	 * Creates a deployment whose engines are warm.
	 * @param deployment the deployment
	 * @param policy policy of all entry instances
	 * @param seed seed of all random choices
	 * @param fromMillis start of the measured time
	 * @param toMillis end of the measured time
	 */
	public World(Deployment deployment, CorePolicy policy, long seed, long fromMillis, long toMillis) {
		this.deployment = deployment;
		this.policy = policy;
		this.seed = seed;
		this.recorder = new Recorder(this.time, fromMillis, toMillis);
		for (int index = 0; index < deployment.engines(); index++) {
			String name = "engine-" + index;
			this.engines.put(name, new EngineActor(this.time, name, deployment.service(), deployment.dataCentre(index),
					deployment.profile(), seed + index));
		}
		PlainActor plain = new PlainActor(this.time, "plain-0", Deployment.PLAIN_SERVICE, deployment.dataCentre(0),
				seed);
		this.plains.put("plain-0", plain);
		for (int index = 0; index < deployment.entries(); index++) {
			addEntry("entry-" + index, deployment.dataCentre(index));
		}
		publishList();
		List<WarmupRecord> warm = Stream.concat(this.engines.keySet().stream(), this.plains.keySet().stream())
			.map((name) -> new WarmupRecord(name, 1, 0, WARM_MILLIS))
			.toList();
		this.entries.forEach((entry) -> entry.post(new Event.WarmupRecordsReceived(warm)));
		this.time.every(GOSSIP_MICROS, GOSSIP_MICROS, this::gossip);
	}

	/**
	 * Returns the clock.
	 * @return the clock
	 */
	public VirtualTime time() {
		return this.time;
	}

	/**
	 * Returns the deployment.
	 * @return the deployment
	 */
	public Deployment deployment() {
		return this.deployment;
	}

	/**
	 * Returns the store.
	 * @return the store
	 */
	public StoreActor store() {
		return this.store;
	}

	/**
	 * Returns what callers got.
	 * @return the record
	 */
	public Recorder recorder() {
		return this.recorder;
	}

	/**
	 * Returns the engines.
	 * @return the engines in order
	 */
	public List<EngineActor> engines() {
		return List.copyOf(this.engines.values());
	}

	/**
	 * Returns the plain service.
	 * @return the service
	 */
	public PlainActor plain() {
		return this.plains.get("plain-0");
	}

	/**
	 * Returns the entry instances, killed ones included.
	 * @return the instances in the order of their start
	 */
	public List<EntryActor> entries() {
		return List.copyOf(this.entries);
	}

	/**
	 * Drains a data centre or takes it back, through one instance; the others learn of it
	 * by gossip.
	 * @param dataCentre name of the data centre
	 * @param drained {@code false} to take it back
	 */
	public void drain(String dataCentre, boolean drained) {
		this.directiveCounter++;
		DrainDirective directive = new DrainDirective(DrainDirective.TargetKind.DATA_CENTRE, dataCentre, drained,
				this.directiveCounter, "entry-0");
		for (int index = 0; index < this.entries.size(); index++) {
			EntryActor entry = this.entries.get(index);
			this.time.after(index * GOSSIP_MICROS / 4,
					() -> entry.post(new Event.DrainDirectivesReceived(List.of(directive))));
		}
	}

	/**
	 * Returns the engines of a data centre.
	 * @param dataCentre name of the data centre
	 * @return its engines
	 */
	public List<EngineActor> enginesOf(String dataCentre) {
		return engines().stream().filter((engine) -> engine.listing().dataCentre().equals(dataCentre)).toList();
	}

	/** Tells all instances who is live. */
	public void publishList() {
		List<InstanceRecord> rows = rows();
		this.entries.forEach((entry) -> entry.post(new Event.InstancesListed(rows)));
	}

	/**
	 * Returns the list of instances as the platform would give it.
	 * @return rows of all live instances
	 */
	public List<InstanceRecord> rows() {
		List<InstanceRecord> rows = new ArrayList<>();
		for (int index = 0; index < this.entries.size(); index++) {
			if (this.entries.get(index).alive()) {
				rows.add(this.entryRows.get(index));
			}
		}
		this.engines.values().forEach((engine) -> rows.add(engine.listing()));
		this.plains.values().forEach((plain) -> rows.add(plain.listing()));
		return rows;
	}

	SplittableRandom random() {
		return new SplittableRandom(this.seed * 31 + 7);
	}

	private EntryActor addEntry(String name, String dataCentre) {
		DecisionCore core = DecisionCore.builder(name, dataCentre)
			.policy(this.policy)
			.seed(this.seed + name.hashCode())
			.build();
		EntryActor entry = new EntryActor(this.time, core, this.engines, this.plains, this.store, this.recorder,
				this.deployment.pollMillis() * VirtualTime.MILLI, 1 + Math.abs(name.hashCode() * 7_919L) % 500_000);
		this.entries.add(entry);
		this.entryRows.add(new InstanceRecord(name, InstanceRole.ENTRY, "", dataCentre, name, InstanceState.LIVE));
		entry.post(new Event.ConfigurationReceived(this.deployment.configuration()));
		return entry;
	}

	private void gossip() {
		List<WarmupRecord> ramps = this.entries.stream()
			.filter(EntryActor::alive)
			.flatMap((entry) -> entry.core().warmupRecords().stream())
			.filter((ramp) -> ramp.coldEpoch() > 0 || ramp.incarnation() > 1)
			.toList();
		if (!ramps.isEmpty()) {
			Stream<EntryActor> live = this.entries.stream().filter(EntryActor::alive);
			live.forEach((entry) -> entry.post(new Event.WarmupRecordsReceived(ramps)));
		}
	}

}
