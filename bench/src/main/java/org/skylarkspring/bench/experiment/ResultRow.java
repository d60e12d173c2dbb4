package org.skylarkspring.bench.experiment;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.stream.Stream;

import org.HdrHistogram.Histogram;

import org.skylarkspring.core.model.WorkClass;

/**
 * Result of one experiment.
 *
 * @param deployment name of the deployment
 * @param policy name of the policy
 * @param loadPercent offered load
 * @param fault what went wrong
 * @param retries what refused callers did
 * @param seed seed of the run
 * @param interactive result of the interactive class
 * @param deadline result of the deadline class
 * @param preemptions preemptions in all engines
 * @param engineFailures crashes of engines
 * @param goodputTokensPerSecond tokens of completed answers whose first token was in time
 * @param worstShareRatio lowest ratio of what a workspace got to its fair share
 * @param worstWorkspace workspace with that ratio
 * @param lowestServicePercent lowest goodput over ten seconds relative to the mean before
 * the fault
 * @param completedTokensBySecond tokens of completed answers by second
 */
public record ResultRow(String deployment, String policy, int loadPercent, String fault, String retries, long seed,
		ClassResult interactive, ClassResult deadline, long preemptions, long engineFailures,
		double goodputTokensPerSecond, double worstShareRatio, String worstWorkspace, double lowestServicePercent,
		long[] completedTokensBySecond) {

	private static final double MICROS_PER_MILLI = 1_000;

	private static final int GOODPUT_WINDOW_SECONDS = 10;

	private static final int BASELINE_START_SECOND = 60;

	private static final int BASELINE_END_SECOND = 90;

	static ResultRow of(Experiment experiment, Simulation world, long preemptions) {
		MetricsRecorder recorder = world.recorder();
		WorkspaceShare worst = findWorstShare(world);
		long goodTokens = Stream.of(WorkClass.values())
			.mapToLong((each) -> recorder.classStatistics(each).goodputTokens)
			.sum();
		return new ResultRow(experiment.deployment().name(), experiment.policy().name(), experiment.loadPercent(),
				toKebabCase(experiment.fault()), toKebabCase(experiment.retryMode()), experiment.seed(),
				ClassResult.of(recorder.classStatistics(WorkClass.INTERACTIVE)),
				ClassResult.of(recorder.classStatistics(WorkClass.DEADLINE)), preemptions,
				world.engines().stream().mapToLong(SimulatedEngine::crashCount).sum(),
				goodTokens / recorder.measuredSeconds(), worst.ratio(), worst.workspace(),
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

	// Shares out what was served by weight, no workspace above its demand.
	private static WorkspaceShare findWorstShare(Simulation world) {
		Map<String, MetricsRecorder.WorkspaceStatistics> got = world.recorder().workspaceStatistics();
		double served = got.values().stream().mapToLong(MetricsRecorder.WorkspaceStatistics::servedTokens).sum();
		double level = computeFairTokensPerWeight(world, served);
		return world.deployment()
			.workspaces()
			.stream()
			.filter((load) -> got.containsKey(load.name()) && got.get(load.name()).offeredTokens > 0)
			.map((load) -> computeShare(load, got.get(load.name()), level))
			.min(Comparator.comparingDouble(WorkspaceShare::ratio))
			.orElse(new WorkspaceShare("", 1));
	}

	private static WorkspaceShare computeShare(Deployment.WorkspaceLoad load,
			MetricsRecorder.WorkspaceStatistics record, double level) {
		double fair = Math.min(record.offeredTokens, level * load.weight());
		return new WorkspaceShare(load.name(), record.servedTokens() / Math.max(1, fair));
	}

	private static double computeFairTokensPerWeight(Simulation world, double served) {
		double low = 0;
		double high = served + 1;
		for (int round = 0; round < 60; round++) {
			double level = (low + high) / 2;
			double sum = world.deployment()
				.workspaces()
				.stream()
				.filter((load) -> world.recorder().workspaceStatistics().containsKey(load.name()))
				.mapToDouble((load) -> Math.min(world.recorder().workspaceStatistics().get(load.name()).offeredTokens,
						level * load.weight()))
				.sum();
			if (sum < served) {
				low = level;
			}
			else {
				high = level;
			}
		}
		return low;
	}

	private static double lowestServicePercent(long[] tokensBySecond) {
		double reference = mean(tokensBySecond, BASELINE_START_SECOND, BASELINE_END_SECOND);
		double lowest = Double.MAX_VALUE;
		for (int second = BASELINE_END_SECOND; second + GOODPUT_WINDOW_SECONDS < tokensBySecond.length; second++) {
			lowest = Math.min(lowest, mean(tokensBySecond, second, second + GOODPUT_WINDOW_SECONDS));
		}
		return 100 * lowest / Math.max(1, reference);
	}

	private static double mean(long[] values, int from, int to) {
		double sum = 0;
		for (int index = from; index < to; index++) {
			sum += values[index];
		}
		return sum / (to - from);
	}

	/**
	 * Result of one class.
	 *
	 * @param firstTokenP95Millis time to the first token, 95 in 100
	 * @param betweenTokensMillis time between tokens: 50, 95, 99 and 99.9 in 100
	 * @param stallSeconds total time stalled
	 * @param offered requests offered
	 * @param completed requests completed
	 * @param refused refusals before the first token
	 * @param interrupted answers that ended early
	 */
	public record ClassResult(double firstTokenP95Millis, List<Double> betweenTokensMillis, double stallSeconds,
			long offered, long completed, long refused, long interrupted) {

		private static ClassResult of(MetricsRecorder.ClassStatistics record) {
			return new ClassResult(percentileMillis(record.firstTokenLatency, 95),
					Stream.of(50.0, 95.0, 99.0, 99.9)
						.map((each) -> percentileMillis(record.interTokenLatency, each))
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
