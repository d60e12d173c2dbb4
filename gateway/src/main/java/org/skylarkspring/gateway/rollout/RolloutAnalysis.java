package org.skylarkspring.gateway.rollout;

import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.function.Function;

/**
 * Compares the versions of a rollout with a sequential test: a cumulative sum of
 * log-likelihood ratios for each route and for all routes together. In each window the
 * rate of bad responses of the old servers is the expected one, so that a disruption that
 * strikes both versions is not held against the new one.
 */
public final class RolloutAnalysis {

	/**
	 * Sum at which a version is bad: the evidence is about a thousand times as likely
	 * with a bad version.
	 */
	private static final double THRESHOLD = 7;

	/**
	 * Sum at which a version is neither promoted nor completed, about that of two bad
	 * responses in close succession.
	 */
	private static final double DOUBT_THRESHOLD = 4.5;

	/** Increase of the rate of bad responses that has to be detected. */
	private static final double DETECTED_RATE_INCREASE = 0.1;

	/** Rate that is expected even if no response of the old servers was bad. */
	private static final double MINIMUM_RATE = 0.01;

	private static final double MAXIMUM_RATE = 0.85;

	/**
	 * Number of responses as which the rate of all windows counts in that of one window.
	 */
	private static final double PRIOR_RESPONSES = 20;

	/**
	 * Largest ratio of one window with few bad responses. One incident, as the crash of a
	 * server with all that runs on it, is not enough for a verdict.
	 */
	private static final double MAXIMUM_LOG_LIKELIHOOD_RATIO = 5;

	/** Bad responses in a window that are more than one incident. */
	private static final int MANY_BAD_RESPONSES = 8;

	/** Responses of the new version without which it is not promoted. */
	private static final int MINIMUM_RESPONSES = 5;

	/** Time after which the loads placed by the other instances are known. */
	private static final long LOAD_REPORT_MILLIS = 1_200;

	/** Time in which all instances in touch usually learn of a stage. */
	private static final long STAGE_PROPAGATION_MILLIS = 200;

	private static final String ALL_ROUTES = "all routes";

	/**
	 * Decides what follows.
	 * @param stage the present stage
	 * @param samples outcomes of all instances
	 * @param schedule times of the rollout
	 * @param stageMillis when this instance learned of the stage, in milliseconds
	 * @param runningOnOldServers number of requests that run on old servers
	 * @param nowMillis current time in milliseconds
	 * @return the decision
	 */
	public RolloutDecision decide(RolloutStage stage, List<RolloutEvidence.Sample> samples, RolloutSchedule schedule,
			long stageMillis, long runningOnOldServers, long nowMillis) {
		if (stage.isFinal()) {
			return new RolloutDecision.Keep(stage, summary(samples));
		}
		Optional<String> fault = findFault(samples);
		if (fault.isPresent()) {
			return new RolloutDecision.RollBack(fault.get());
		}
		return (stage == RolloutStage.TESTING) ? decideInTest(samples, schedule, nowMillis)
				: decideInPromotion(samples, schedule, stageMillis, runningOnOldServers, nowMillis);
	}

	private static RolloutDecision decideInTest(List<RolloutEvidence.Sample> samples, RolloutSchedule schedule,
			long nowMillis) {
		if (nowMillis < schedule.promotionMillis()) {
			return new RolloutDecision.Keep(RolloutStage.TESTING, summary(samples));
		}
		Optional<String> doubt = findDoubt(samples);
		if (doubt.isPresent()) {
			return new RolloutDecision.RollBack(doubt.get());
		}
		long responses = total(samples, (sample) -> sample.newVersion().requests());
		return (responses >= MINIMUM_RESPONSES) ? new RolloutDecision.Promote("no fault found: " + summary(samples))
				: new RolloutDecision.RollBack("too few responses to judge the version: " + summary(samples));
	}

	private static RolloutDecision decideInPromotion(List<RolloutEvidence.Sample> samples, RolloutSchedule schedule,
			long stageMillis, long runningOnOldServers, long nowMillis) {
		boolean idle = runningOnOldServers == 0 && nowMillis - stageMillis >= LOAD_REPORT_MILLIS;
		boolean due = nowMillis >= Math.max(schedule.completionMillis(), stageMillis + STAGE_PROPAGATION_MILLIS);
		if (!idle && !due) {
			return new RolloutDecision.Keep(RolloutStage.PROMOTING,
					runningOnOldServers + " requests run on old servers");
		}
		return findDoubt(samples).<RolloutDecision>map(RolloutDecision.RollBack::new)
			.orElseGet(() -> new RolloutDecision.Complete((idle ? "" : "time limit is near, ") + runningOnOldServers
					+ " requests run on old servers, " + summary(samples)));
	}

	// Too much exposure is worse than a good version that has to be ordered again.
	private static Optional<String> findDoubt(List<RolloutEvidence.Sample> samples) {
		return findFault(samples, Optional.empty(), DOUBT_THRESHOLD).map((reason) -> "in doubt, " + reason);
	}

	/**
	 * Returns what speaks against the new version.
	 * @param samples outcomes in order of time
	 * @return the reason with figures, empty if it is not known to be bad
	 */
	public Optional<String> findFault(List<RolloutEvidence.Sample> samples) {
		return findFault(samples, Optional.of(THRESHOLD), THRESHOLD);
	}

	/**
	 * Returns what speaks against the new version.
	 * @param samples outcomes in order of time
	 * @param everThreshold sum that must not have been reached at any time, empty for any
	 * @param lastThreshold sum that must not be reached after the last sample
	 * @return the reason with figures, empty if no threshold was reached
	 */
	private static Optional<String> findFault(List<RolloutEvidence.Sample> samples, Optional<Double> everThreshold,
			double lastThreshold) {
		Map<String, Double> usualRates = new HashMap<>();
		Map<String, Double> sums = new TreeMap<>();
		Optional<String> found = Optional.empty();
		for (RolloutEvidence.Sample sample : samples) {
			double increase = logLikelihoodRatio(sample,
					usualRates.computeIfAbsent(sample.route(), (route) -> usualRate(samples, route)));
			List.of(sample.route(), ALL_ROUTES)
				.forEach(
						(name) -> sums.merge(name, Math.max(0, increase), (sum, first) -> Math.max(0, sum + increase)));
			found = found.or(() -> everThreshold.flatMap((threshold) -> findExceeded(sums, threshold)));
		}
		return found.or(() -> findExceeded(sums, lastThreshold))
			.map((route) -> "new version is worse on " + route + ": " + summary(samples));
	}

	// A single route is a better hint than the total.
	private static Optional<String> findExceeded(Map<String, Double> sums, double threshold) {
		return sums.entrySet()
			.stream()
			.filter((entry) -> entry.getValue() >= threshold)
			.map(Map.Entry::getKey)
			.min(Comparator.comparing(ALL_ROUTES::equals));
	}

	private static double usualRate(List<RolloutEvidence.Sample> samples, String route) {
		List<RolloutEvidence.Sample> ofRoute = samples.stream()
			.filter((sample) -> sample.route().equals(route))
			.toList();
		long requests = total(ofRoute, (sample) -> sample.oldVersion().requests());
		long bad = total(ofRoute, (sample) -> bad(sample.oldVersion()));
		return Math.max(MINIMUM_RATE, (requests == 0) ? 0 : (double) bad / requests);
	}

	private static double logLikelihoodRatio(RolloutEvidence.Sample sample, double usualRate) {
		double rate = (bad(sample.oldVersion()) + PRIOR_RESPONSES * usualRate)
				/ (sample.oldVersion().requests() + PRIOR_RESPONSES);
		double expected = Math.min(MAXIMUM_RATE, Math.max(MINIMUM_RATE, rate));
		double detected = expected + DETECTED_RATE_INCREASE;
		long bad = bad(sample.newVersion());
		long good = sample.newVersion().requests() - bad;
		double ratio = bad * Math.log(detected / expected) + good * Math.log((1 - detected) / (1 - expected));
		return (bad < MANY_BAD_RESPONSES) ? Math.min(MAXIMUM_LOG_LIKELIHOOD_RATIO, ratio) : ratio;
	}

	private static long bad(VersionOutcomes outcomes) {
		return Math.min(outcomes.requests(), outcomes.failures() + outcomes.slow());
	}

	private static long total(List<RolloutEvidence.Sample> samples, Function<RolloutEvidence.Sample, Long> value) {
		return samples.stream().mapToLong(value::apply).sum();
	}

	static String summary(List<RolloutEvidence.Sample> samples) {
		return String.format(Locale.ROOT, "new %s, old %s", summary(samples, RolloutEvidence.Sample::newVersion),
				summary(samples, RolloutEvidence.Sample::oldVersion));
	}

	private static String summary(List<RolloutEvidence.Sample> samples,
			Function<RolloutEvidence.Sample, VersionOutcomes> version) {
		return String.format(Locale.ROOT, "%d responses, %d failed, %d slow",
				total(samples, (sample) -> version.apply(sample).requests()),
				total(samples, (sample) -> version.apply(sample).failures()),
				total(samples, (sample) -> version.apply(sample).slow()));
	}

}
