package org.skylarkspring.gateway.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Random;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/**
 * Tests verdicts on versions: bad ones must be found early, good ones must not be blamed
 * for what strikes both versions.
 */
class RolloutAnalysisTests {

	private static final int WINDOWS = 6;

	private static final int OLD_REQUESTS = 60;

	private static final int NEW_REQUESTS = 8;

	private static final RolloutSchedule SCHEDULE = new RolloutSchedule(0, 12_000, 0.1);

	private final RolloutAnalysis analysis = new RolloutAnalysis();

	private static VersionOutcomes outcomes(long requests, long failures, long slow) {
		return new VersionOutcomes("k", requests, failures, slow);
	}

	private static RolloutEvidence.Sample sample(long window, String route, VersionOutcomes old,
			VersionOutcomes fresh) {
		return new RolloutEvidence.Sample(window, route, old, fresh);
	}

	private static RolloutEvidence.Sample good(long window) {
		return sample(window, "a", outcomes(OLD_REQUESTS, 0, 1), outcomes(NEW_REQUESTS, 0, 0));
	}

	private RolloutDecision decide(RolloutStage stage, List<RolloutEvidence.Sample> samples, long running, long now) {
		return this.analysis.decide(stage, samples, SCHEDULE, 0, running, now);
	}

	/**
	 * Draws outcomes one window after the other and returns how many bad responses there
	 * were when the version was found bad, or -1.
	 */
	private int badResponsesUntilFound(Random random, double oldRate, double newRate, int windows) {
		List<RolloutEvidence.Sample> samples = new ArrayList<>();
		int bad = 0;
		for (int window = 0; window < windows; window++) {
			int badNow = draw(random, NEW_REQUESTS, newRate);
			bad += badNow;
			samples.add(sample(window, "a", outcomes(OLD_REQUESTS, draw(random, OLD_REQUESTS, oldRate), 0),
					outcomes(NEW_REQUESTS, badNow, 0)));
			if (this.analysis.findFault(samples).isPresent()) {
				return bad;
			}
		}
		return -1;
	}

	private static int draw(Random random, int requests, double rate) {
		return (int) random.doubles(requests).filter((value) -> value < rate).count();
	}

	@Nested
	class Faults {

		@ParameterizedTest
		@ValueSource(doubles = { 0.25, 0.4, 0.7, 1 })
		void isFoundLongBeforeThe50thBadResponse(double rate) {
			for (int seed = 0; seed < 200; seed++) {
				int bad = badResponsesUntilFound(new Random(seed), 0.01, rate, 30);
				assertThat("seed " + seed, bad > 0, is(true));
				assertThat("seed " + seed, bad, lessThan(25));
			}
		}

		@Test
		void thatShowsLateIsFound() {
			List<RolloutEvidence.Sample> samples = new ArrayList<>();
			for (int window = 0; window < 30; window++) {
				samples.add(good(window));
			}
			samples.add(sample(30, "a", outcomes(OLD_REQUESTS, 0, 0), outcomes(NEW_REQUESTS, 4, 0)));
			samples.add(sample(31, "a", outcomes(OLD_REQUESTS, 0, 0), outcomes(NEW_REQUESTS, 4, 0)));
			assertThat(decide(RolloutStage.TESTING, samples, 0, 9_000), instanceOf(RolloutDecision.RollBack.class));
		}

		@Test
		void onOneRouteOnlyIsFoundAmongManyGoodResponses() {
			List<RolloutEvidence.Sample> samples = new ArrayList<>();
			for (int window = 0; window < WINDOWS; window++) {
				for (String route : List.of("a", "b", "c", "d")) {
					samples.add(sample(window, route, outcomes(OLD_REQUESTS, 0, 0), outcomes(20, 0, 0)));
				}
				samples.add(sample(window, "e", outcomes(OLD_REQUESTS, 0, 0), outcomes(2, 1, 0)));
			}
			assertThat(decide(RolloutStage.TESTING, samples, 0, 9_000).reason(), containsString("worse on e"));
		}

		@Test
		void thatIsOnlySlownessIsFound() {
			List<RolloutEvidence.Sample> samples = List.of(good(0),
					sample(1, "a", outcomes(OLD_REQUESTS, 0, 2), outcomes(NEW_REQUESTS, 0, 4)),
					sample(2, "a", outcomes(OLD_REQUESTS, 0, 2), outcomes(NEW_REQUESTS, 0, 4)));
			assertThat(decide(RolloutStage.TESTING, samples, 0, 5_000), instanceOf(RolloutDecision.RollBack.class));
		}

		@Test
		void underLoadOnlyIsFound() {
			List<RolloutEvidence.Sample> samples = List.of(good(0), good(1),
					sample(2, "a", outcomes(300, 1, 9), outcomes(40, 2, 10)));
			assertThat(decide(RolloutStage.TESTING, samples, 0, 5_000), instanceOf(RolloutDecision.RollBack.class));
		}

		@Test
		void isFoundWhilePromoting() {
			List<RolloutEvidence.Sample> samples = List.of(good(0),
					sample(1, "a", outcomes(4, 0, 0), outcomes(100, 30, 0)));
			assertThat(decide(RolloutStage.PROMOTING, samples, 3, 11_500), instanceOf(RolloutDecision.RollBack.class));
		}

	}

	@Nested
	class Disruptions {

		@ParameterizedTest
		@ValueSource(doubles = { 0, 0.01, 0.1, 0.3, 0.6, 0.9 })
		void thatStrikeBothVersionsAreNotHeldAgainstTheNewOne(double rate) {
			long found = new Random(7).longs(500)
				.filter((seed) -> badResponsesUntilFound(new Random(seed), rate, rate, WINDOWS) >= 0)
				.count();
			assertThat("false verdicts of 500", found, lessThan(8L));
		}

		@Test
		void inOneWindowAreNotHeldAgainstTheNewVersion() {
			List<RolloutEvidence.Sample> samples = List.of(good(0),
					sample(1, "a", outcomes(OLD_REQUESTS, 40, 5), outcomes(NEW_REQUESTS, 7, 1)), good(2), good(3));
			assertThat(decide(RolloutStage.TESTING, samples, 0, 9_000), instanceOf(RolloutDecision.Keep.class));
		}

		@Test
		void crashOfOneServerWithAllThatRunsOnItIsNoVerdict() {
			List<RolloutEvidence.Sample> samples = List.of(good(0),
					sample(1, "a", outcomes(OLD_REQUESTS, 0, 0), outcomes(NEW_REQUESTS, 5, 0)), good(2));
			assertThat(decide(RolloutStage.TESTING, samples, 0, 9_000), instanceOf(RolloutDecision.Keep.class));
		}

	}

	@Nested
	class TimeLimit {

		private final List<RolloutEvidence.Sample> goodSamples = List.of(good(0), good(1));

		@Test
		void testLastsUntilShortlyBeforeTheLimit() {
			assertThat(decide(RolloutStage.TESTING, this.goodSamples, 0, 11_300),
					instanceOf(RolloutDecision.Keep.class));
			assertThat(decide(RolloutStage.TESTING, this.goodSamples, 0, 11_400),
					instanceOf(RolloutDecision.Promote.class));
		}

		@Test
		void versionWithTooFewResponsesIsNotPromoted() {
			List<RolloutEvidence.Sample> few = List.of(sample(0, "a", outcomes(OLD_REQUESTS, 0, 0), outcomes(4, 0, 0)));
			assertThat(decide(RolloutStage.TESTING, few, 0, 11_400).reason(), containsString("too few responses"));
		}

		@Test
		void rolloutIsCompletedWhenNothingRunsOnOldServersOrTheLimitIsNear() {
			RolloutSchedule longer = new RolloutSchedule(0, 100_000, 0.1);
			RolloutAnalysis analysis = RolloutAnalysisTests.this.analysis;
			assertThat(analysis.decide(RolloutStage.PROMOTING, this.goodSamples, longer, 95_000, 0, 95_100),
					instanceOf(RolloutDecision.Keep.class));
			assertThat(analysis.decide(RolloutStage.PROMOTING, this.goodSamples, longer, 95_000, 0, 96_300),
					instanceOf(RolloutDecision.Complete.class));
			assertThat(analysis.decide(RolloutStage.PROMOTING, this.goodSamples, longer, 95_000, 9, 97_400),
					instanceOf(RolloutDecision.Keep.class));
			assertThat(analysis.decide(RolloutStage.PROMOTING, this.goodSamples, longer, 95_000, 9, 97_500),
					instanceOf(RolloutDecision.Complete.class));
		}

		@ParameterizedTest
		@ValueSource(strings = { "COMPLETED", "ROLLED_BACK" })
		void endedRolloutStaysAsItIs(String stage) {
			List<RolloutEvidence.Sample> bad = List
				.of(sample(0, "a", outcomes(OLD_REQUESTS, 0, 0), outcomes(40, 40, 0)));
			assertThat(decide(RolloutStage.valueOf(stage), bad, 0, 20_000).stage(), is(RolloutStage.valueOf(stage)));
		}

	}

}
