package org.skylarkspring.bench.experiment;

import java.util.List;
import java.util.Map;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.skylarkspring.core.DecisionCore;
import org.skylarkspring.core.event.Event;
import org.skylarkspring.core.model.InstanceRecord;
import org.skylarkspring.core.model.InstanceRole;

/**
 * Kills all entry instances of a simulation at once and starts others in their place,
 * with the same names and nothing kept. The store keeps what it has confirmed.
 */
final class SimulatedPowerLoss {

	/** Differs from the seeds of the instances before, as a new process has its own. */
	private static final long SEED = 8_191;

	private final Simulation simulation;

	SimulatedPowerLoss(Simulation simulation) {
		this.simulation = simulation;
	}

	/**
	 * Kills all entry instances and starts new ones.
	 * @return the new instances
	 */
	List<SimulatedEntryInstance> killAndRestartAll() {
		List<InstanceRecord> listed = this.simulation.instanceRecords();
		this.simulation.entryInstances().forEach(SimulatedEntryInstance::kill);
		List<SimulatedEntryInstance> restarted = listed.stream()
			.filter((instance) -> instance.role() == InstanceRole.ENTRY)
			.map(this::start)
			.toList();
		restarted.forEach((instance) -> {
			instance.post(new Event.ConfigurationReceived(this.simulation.deployment().configuration()));
			instance.post(new Event.InstancesListed(listed));
		});
		return restarted;
	}

	private SimulatedEntryInstance start(InstanceRecord instance) {
		DecisionCore core = DecisionCore.builder(instance.instanceId(), instance.dataCentre())
			.policy(PolicyVariants.standard())
			.seed(SEED + instance.instanceId().hashCode())
			.build();
		long pollMicros = this.simulation.deployment().pollIntervalMillis() * VirtualClock.MICROS_PER_MILLI;
		return new SimulatedEntryInstance(this.simulation.clock(), core, engines(), plainServices(),
				this.simulation.store(), this.simulation.recorder(), pollMicros, 1);
	}

	private Map<String, SimulatedEngine> engines() {
		return this.simulation.engines()
			.stream()
			.collect(Collectors.toMap((engine) -> engine.instanceRecord().instanceId(), Function.identity()));
	}

	private Map<String, SimulatedPlainService> plainServices() {
		SimulatedPlainService plainService = this.simulation.plainService();
		return Map.of(plainService.instanceRecord().instanceId(), plainService);
	}

}
