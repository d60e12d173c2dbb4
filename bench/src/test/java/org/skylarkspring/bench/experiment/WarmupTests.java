package org.skylarkspring.bench.experiment;

import java.util.List;
import java.util.SplittableRandom;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.skylarkspring.bench.model.EngineProfile;
import org.skylarkspring.core.event.Event;
import org.skylarkspring.core.model.InstanceRecord;
import org.skylarkspring.core.model.InstanceRole;
import org.skylarkspring.core.model.ServerStatus;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.everyItem;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * The load that a warming server receives from all entry instances together stays within
 * its total limit.
 */
class WarmupTests {

	private static final long CRASH_MILLIS = 10_000;

	private static final long END_MILLIS = 70_000;

	private static Deployment deploymentWithColdBatchSize(int coldBatch) {
		EngineProfile profile = new EngineProfile(18, 0.9, 0.02, 64, 2_048, 2_600, 16, coldBatch, 30_000, 0.05);
		return Deployment.cuadernoAustral().withEngineProfile(profile);
	}

	private static int highestTotalLimit(Simulation simulation, String serverId) {
		return simulation.entryInstances()
			.stream()
			.flatMap((entry) -> entry.core().status().servers().stream())
			.filter((server) -> server.serverId().equals(serverId))
			.mapToInt(ServerStatus::totalLimit)
			.max()
			.orElse(0);
	}

	private static List<String> phasesOfFirstEngine(Simulation simulation) {
		return simulation.entryInstances()
			.stream()
			.flatMap((entry) -> entry.core().status().servers().stream())
			.filter((server) -> server.serverId().equals("engine-0"))
			.map(ServerStatus::phase)
			.toList();
	}

	// Publishes all backend servers and a different random subset of the entry instances
	// to each entry instance.
	private static void publishDifferingInstanceLists(Simulation simulation, SplittableRandom random) {
		List<InstanceRecord> instances = simulation.instanceRecords();
		simulation.entryInstances().forEach((entry) -> {
			List<InstanceRecord> visibleInstances = instances.stream()
				.filter((instance) -> instance.role() == InstanceRole.BACKEND || random.nextInt(3) > 0)
				.toList();
			entry.post(new Event.InstancesListed(visibleInstances));
		});
	}

	@Property(seed = "5", tries = 12)
	void keepsEngineLoadWithinTotalLimitAcrossEntryInstances(@ForAll @IntRange(max = 10_000) int seed,
			@ForAll @IntRange(min = 1, max = 12) int coldBatch, @ForAll SimulatedStore.Mode storeMode) {
		Simulation simulation = new Simulation(deploymentWithColdBatchSize(coldBatch), PolicyVariants.standard(), seed,
				0, END_MILLIS);
		SplittableRandom random = new SplittableRandom(seed);
		SimulatedEngine engine = simulation.engines().get(0);
		new Workload(simulation, 16, Workload.RetryPolicy.never()).startArrivals();
		publishDifferingInstanceLists(simulation, random);
		simulation.clock().runUntil(CRASH_MILLIS);
		engine.crash();
		simulation.clock()
			.schedule(15_000 * VirtualClock.MICROS_PER_MILLI, () -> simulation.store().setMode(storeMode));
		simulation.clock()
			.schedule(30_000 * VirtualClock.MICROS_PER_MILLI,
					() -> simulation.store().setMode(SimulatedStore.Mode.AVAILABLE));
		for (long millis = CRASH_MILLIS + 2_000; millis < END_MILLIS; millis += 100) {
			simulation.clock().runUntil(millis);
			assertThat("sequences in the engine at millisecond " + millis, engine.sequenceCount(),
					lessThanOrEqualTo(highestTotalLimit(simulation, "engine-0")));
		}
		assertThat(engine.crashCount(), is(1L));
		assertThat(engine.submissions(), greaterThan(0L));
	}

	@Nested
	class WithoutWarmupLimit {

		/**
		 * The load of a warm server exceeds the cold batch size, so without a limit a
		 * server that turns cold is overloaded.
		 */
		@Test
		void exceedsColdBatchSizeWhenServerTurnsColdUnderLoad() {
			int coldBatch = 6;
			Simulation simulation = new Simulation(deploymentWithColdBatchSize(coldBatch), PolicyVariants.standard(), 1,
					0, END_MILLIS);
			new Workload(simulation, 16, Workload.RetryPolicy.never()).startArrivals();
			simulation.clock().runUntil(CRASH_MILLIS);
			SimulatedEngine engine = simulation.engines().get(0);
			engine.resetToCold();
			assertThat(engine.sequenceCount(), greaterThan(coldBatch));
		}

	}

	@Nested
	class StoreOutage {

		@Test
		void sendsSomeWorkToWarmingServerDuringStoreOutage() {
			Simulation simulation = new Simulation(deploymentWithColdBatchSize(8), PolicyVariants.standard(), 1, 0,
					END_MILLIS);
			simulation.store().setMode(SimulatedStore.Mode.OUTAGE);
			new Workload(simulation, 16, Workload.RetryPolicy.never()).startArrivals();
			simulation.clock().runUntil(CRASH_MILLIS);
			SimulatedEngine engine = simulation.engines().get(0);
			engine.crash();
			long before = engine.submissions();
			simulation.clock().runUntil(END_MILLIS);
			assertThat(engine.submissions() - before, greaterThan(5L));
			assertThat(engine.crashCount(), is(1L));
		}

	}

	@Nested
	class UnannouncedColdServer {

		@Test
		void detectsColdServerAndLimitsNewWorkBeforeItFails() {
			Simulation simulation = new Simulation(deploymentWithColdBatchSize(6), PolicyVariants.standard(), 1, 0,
					END_MILLIS);
			new Workload(simulation, 16, Workload.RetryPolicy.never()).startArrivals();
			simulation.clock().runUntil(CRASH_MILLIS);
			SimulatedEngine engine = simulation.engines().get(0);
			engine.resetToCold();
			simulation.clock().runUntil(CRASH_MILLIS + 4_000);
			assertThat(phasesOfFirstEngine(simulation), everyItem(is("warming")));
			long submissions = engine.submissions();
			simulation.clock().runUntil(CRASH_MILLIS + 6_000);
			assertThat(engine.submissions() - submissions, lessThanOrEqualTo(6L));
			assertThat(engine.crashCount(), is(0L));
		}

	}

}
