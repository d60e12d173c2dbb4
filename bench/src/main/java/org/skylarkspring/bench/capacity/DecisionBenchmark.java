package org.skylarkspring.bench.capacity;

import java.util.concurrent.TimeUnit;

import org.openjdk.jmh.annotations.Benchmark;
import org.openjdk.jmh.annotations.BenchmarkMode;
import org.openjdk.jmh.annotations.Fork;
import org.openjdk.jmh.annotations.Level;
import org.openjdk.jmh.annotations.Measurement;
import org.openjdk.jmh.annotations.Mode;
import org.openjdk.jmh.annotations.OutputTimeUnit;
import org.openjdk.jmh.annotations.Param;
import org.openjdk.jmh.annotations.Scope;
import org.openjdk.jmh.annotations.Setup;
import org.openjdk.jmh.annotations.State;
import org.openjdk.jmh.annotations.Warmup;
import org.openjdk.jmh.runner.Runner;
import org.openjdk.jmh.runner.RunnerException;
import org.openjdk.jmh.runner.options.OptionsBuilder;

/**
 * Measures the time of one decision, one tick and one round of progress events of a
 * decision core, in fleets of several sizes.
 */
@State(Scope.Thread)
@BenchmarkMode(Mode.AverageTime)
@OutputTimeUnit(TimeUnit.MICROSECONDS)
@Warmup(iterations = 2, time = 1)
@Measurement(iterations = 3, time = 1)
@Fork(1)
public class DecisionBenchmark {

	private static final int OPEN_REQUESTS = 125;

	private static final int DECISIONS_PER_LOAD_REPORT = 200;

	/** Number of backend servers. */
	@Param({ "130", "520", "1300" })
	public int servers;

	/** Number of workspaces. */
	@Param({ "260", "2600" })
	public int workspaces;

	private DecisionCoreFixture fixture;

	private int decisionCount;

	/**
	 * Runs the benchmark.
	 * @param arguments not used
	 * @throws RunnerException if the benchmark fails
	 */
	public static void main(String[] arguments) throws RunnerException {
		new Runner(new OptionsBuilder().include(DecisionBenchmark.class.getSimpleName()).build()).run();
	}

	/** Creates the fleet and opens as many requests as one entry instance has. */
	@Setup(Level.Iteration)
	public void createFixture() {
		this.fixture = new DecisionCoreFixture(this.servers, this.workspaces, this.servers * 410 / 1_300);
		this.decisionCount = 0;
		for (int request = 0; request < OPEN_REQUESTS; request++) {
			if (request % 20 == 0) {
				this.fixture.reportIdleLoad();
			}
			this.fixture.submitRequest();
		}
		this.fixture.reportIdleLoad();
	}

	/**
	 * Decides on one new request and completes the oldest open one.
	 * @return number of actions
	 */
	@Benchmark
	public int decision() {
		this.decisionCount++;
		if (this.decisionCount % DECISIONS_PER_LOAD_REPORT == 0) {
			this.fixture.reportIdleLoad();
		}
		int actions = this.fixture.submitRequest();
		this.fixture.completeOldestRequest();
		return actions;
	}

	/** Runs the systems that are due after 20 ms. */
	@Benchmark
	public void tick() {
		this.fixture.advanceTime(20);
	}

	/** Processes the progress events of all open requests. */
	@Benchmark
	public void progressOfAllRequests() {
		this.fixture.reportProgress();
	}

}
