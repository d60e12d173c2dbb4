package org.skylarkspring.core.internal;

import java.util.Arrays;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;

/**
 * Tests of {@link LengthEstimator} against the naive estimate from all finished lengths.
 */
class LengthEstimatorTests {

	private static final int GENERATIONS = 1_500;

	private final int[] lengths = lengths();

	private final LengthEstimator estimator = new LengthEstimator();

	LengthEstimatorTests() {
		for (int length : this.lengths) {
			this.estimator.grown(-1, 0);
			this.estimator.grown(0, length);
			this.estimator.ended(length);
		}
	}

	private static int[] lengths() {
		SplittableRandom random = new SplittableRandom(3);
		return IntStream.range(0, GENERATIONS)
			.map((index) -> (int) Math.max(1, 50 / Math.pow(1 - random.nextDouble(), 0.8)))
			.map((length) -> Math.min(length, 20_000))
			.toArray();
	}

	private double naiveQuantile(int reached, double quantile) {
		int[] longer = Arrays.stream(this.lengths).filter((length) -> length > reached).sorted().toArray();
		return longer[(int) (quantile * (longer.length - 1))] - reached;
	}

	@Nested
	class Quantile {

		@Test
		void agreesWithTheNaiveEstimateAtTheStart() {
			double naive = naiveQuantile(0, 0.5);
			assertThat(LengthEstimatorTests.this.estimator.quantileRemaining(0, 0.5), closeTo(naive, naive * 0.3));
		}

		@Test
		void growsWithTheLengthReached() {
			LengthEstimator learned = LengthEstimatorTests.this.estimator;
			assertThat(learned.quantileRemaining(400, 0.5), greaterThan(learned.quantileRemaining(0, 0.5)));
		}

	}

	@Nested
	class Mean {

		@Test
		void agreesWithTheNaiveMean() {
			double naive = Arrays.stream(LengthEstimatorTests.this.lengths).average().orElseThrow();
			assertThat(LengthEstimatorTests.this.estimator.meanRemaining(0), closeTo(naive, naive * 0.35));
		}

	}

}
