package org.skylarkspring.bench.experiment;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Stream;

import org.HdrHistogram.Histogram;

import org.skylarkspring.core.model.WorkClass;

/**
 * Result of one experiment, printed as one row of the result table.
 *
 * @param deployment name of the deployment
 * @param policy name of the policy
 * @param loadPercent offered load in percent of the calibrated capacity
 * @param fault name of the injected fault
 * @param retries name of the retry mode of refused callers
 * @param seed seed of the run
 * @param interactive result of the interactive class
 * @param deadline result of the deadline class
 * @param preemptions number of preemptions in all engines during the measurement period
 * @param engineFailures number of engine crashes since the start of the simulation
 * @param goodputTokensPerSecond tokens per second of completed responses whose first
 * token was in time
 * @param worstShareRatio lowest ratio of the tokens served to a workspace to its fair
 * share
 * @param worstWorkspace workspace with the lowest ratio
 * @param lowestServicePercent lowest mean over ten seconds, after the start of the fault,
 * of the tokens of completed responses per second, in percent of the mean over the 30 s
 * before the fault
 * @param completedTokensBySecond tokens of completed responses by second since the start
 * of the simulation
 */
public record ResultRow(String deployment, String policy, int loadPercent, String fault, String retries, long seed,
		ClassResult interactive, ClassResult deadline, long preemptions, long engineFailures,
		double goodputTokensPerSecond, double worstShareRatio, String worstWorkspace, double lowestServicePercent,
		long[] completedTokensBySecond) {

	private static final double MICROS_PER_MILLI = 1_000;

	private static final int THROUGHPUT_WINDOW_SECONDS = 10;

	private static final int BASELINE_START_SECOND = 60;

	private static final int BASELINE_END_SECOND = 90;

	static ResultRow of(Experiment experiment, Simulation simulation, long preemptions) {
		MetricsRecorder recorder = simulation.recorder();
		WorkspaceShare worst = findWorstShare(simulation);
		long goodputTokens = Stream.of(WorkClass.values())
			.mapToLong((workClass) -> recorder.classStatistics(workClass).goodputTokens)
			.sum();
		return new ResultRow(experiment.deployment().name(), experiment.policy().name(), experiment.loadPercent(),
				toKebabCase(experiment.fault()), toKebabCase(experiment.retryMode()), experiment.seed(),
				ClassResult.of(recorder.classStatistics(WorkClass.INTERACTIVE)),
				ClassResult.of(recorder.classStatistics(WorkClass.DEADLINE)), preemptions,
				simulation.engines().stream().mapToLong(SimulatedEngine::crashCount).sum(),
				goodputTokens / recorder.measuredSeconds(), worst.ratio(), worst.workspace(),
				lowestServicePercent(recorder.completedTokensBySecond()), recorder.completedTokensBySecond());
	}

	static String formatHeader() {
		return String.format(Locale.ROOT, "%-16s %-18s %4s %-15s | %-43s | %-43s | %6s %5s %8s %6s %7s", "deployment",
				"policy", "load", "fault", "interactive: ft95 gap50/95/99/99.9 stall refused",
				"deadline: ft95 gap50/95/99/99.9 stall refused", "preem", "crash", "goodput", "share", "lowest%");
	}

	String formatRow() {
		return String.format(Locale.ROOT, "%-16s %-18s %3d%% %-15s | %s | %s | %6d %5d %8.0f %6.2f %7.0f",
				this.deployment, this.policy, this.loadPercent,
				this.fault + (this.retries.equals("never") ? "" : "/" + this.retries), this.interactive.formatColumns(),
				this.deadline.formatColumns(), this.preemptions, this.engineFailures, this.goodputTokensPerSecond,
				this.worstShareRatio, this.lowestServicePercent);
	}

	private static String toKebabCase(Enum<?> value) {
		return value.name().toLowerCase(Locale.ROOT).replace('_', '-');
	}

	// The fair share of a workspace is proportional to its weight and limited to its
	// demand; all fair shares add up to the tokens served.
	private static WorkspaceShare findWorstShare(Simulation simulation) {
		Map<String, MetricsRecorder.WorkspaceStatistics> statisticsByWorkspace = simulation.recorder()
			.workspaceStatistics();
		double served = statisticsByWorkspace.values()
			.stream()
			.mapToLong(MetricsRecorder.WorkspaceStatistics::servedTokens)
			.sum();
		double tokensPerWeight = computeFairTokensPerWeight(simulation, served);
		return simulation.deployment()
			.workspaces()
			.stream()
			.filter((load) -> statisticsByWorkspace.containsKey(load.name())
					&& statisticsByWorkspace.get(load.name()).offeredTokens > 0)
			.map((load) -> computeShare(load, statisticsByWorkspace.get(load.name()), tokensPerWeight))
			.min(Comparator.comparingDouble(WorkspaceShare::ratio))
			.orElse(new WorkspaceShare("", 1));
	}

	private static WorkspaceShare computeShare(Deployment.WorkspaceLoad load,
			MetricsRecorder.WorkspaceStatistics record, double tokensPerWeight) {
		double fairShare = Math.min(record.offeredTokens, tokensPerWeight * load.weight());
		return new WorkspaceShare(load.name(), record.servedTokens() / Math.max(1, fairShare));
	}

	private static double computeFairTokensPerWeight(Simulation simulation, double served) {
		double low = 0;
		double high = served + 1;
		for (int iteration = 0; iteration < 60; iteration++) {
			double tokensPerWeight = (low + high) / 2;
			double sum = simulation.deployment()
				.workspaces()
				.stream()
				.filter((load) -> simulation.recorder().workspaceStatistics().containsKey(load.name()))
				.mapToDouble(
						(load) -> Math.min(simulation.recorder().workspaceStatistics().get(load.name()).offeredTokens,
								tokensPerWeight * load.weight()))
				.sum();
			if (sum < served) {
				low = tokensPerWeight;
			}
			else {
				high = tokensPerWeight;
			}
		}
		return low;
	}

	private static double lowestServicePercent(long[] tokensBySecond) {
		double baseline = mean(tokensBySecond, BASELINE_START_SECOND, BASELINE_END_SECOND);
		double lowest = Double.MAX_VALUE;
		for (int second = BASELINE_END_SECOND; second + THROUGHPUT_WINDOW_SECONDS < tokensBySecond.length; second++) {
			lowest = Math.min(lowest, mean(tokensBySecond, second, second + THROUGHPUT_WINDOW_SECONDS));
		}
		return 100 * lowest / Math.max(1, baseline);
	}

	private static double mean(long[] values, int from, int to) {
		double sum = 0;
		for (int index = from; index < to; index++) {
			sum += values[index];
		}
		return sum / (to - from);
	}

	/**
	 * Result of one work class.
	 *
	 * @param firstTokenP95Millis 95th percentile of the time to the first token, in
	 * milliseconds
	 * @param betweenTokensMillis 50th, 95th, 99th and 99.9th percentile of the time
	 * between tokens, in milliseconds
	 * @param stallSeconds total stall time in seconds
	 * @param offered number of offered requests, without retries
	 * @param completed number of completed requests
	 * @param refused number of refusals before the first token, including those of
	 * retries
	 * @param interrupted number of responses that failed after the first token
	 */
	public record ClassResult(double firstTokenP95Millis, List<Double> betweenTokensMillis, double stallSeconds,
			long offered, long completed, long refused, long interrupted) {

		private static ClassResult of(MetricsRecorder.ClassStatistics record) {
			return new ClassResult(percentileMillis(record.firstTokenLatency, 95),
					Stream.of(50.0, 95.0, 99.0, 99.9)
						.map((percentile) -> percentileMillis(record.interTokenLatency, percentile))
						.toList(),
					record.stallMicros / 1e6, record.offered, record.completed, record.refused, record.interrupted);
		}

		private static double percentileMillis(Histogram histogram, double percentile) {
			return histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
		}

		String formatColumns() {
			return String.format(Locale.ROOT, "%6.0f %3.0f/%3.0f/%4.0f/%5.0f %7.1f %5d/%5d", this.firstTokenP95Millis,
					this.betweenTokensMillis.get(0), this.betweenTokensMillis.get(1), this.betweenTokensMillis.get(2),
					this.betweenTokensMillis.get(3), this.stallSeconds, this.refused, this.offered);
		}

	}

	private record WorkspaceShare(String workspace, double ratio) {
	}

}
