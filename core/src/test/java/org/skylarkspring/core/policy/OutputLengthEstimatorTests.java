package org.skylarkspring.core.policy;

import java.util.Arrays;
import java.util.SplittableRandom;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;

/**
 * Tests of {@link OutputLengthEstimator} against the empirical distribution of all
 * generated lengths.
 */
class OutputLengthEstimatorTests {

	private static final int GENERATION_COUNT = 1_500;

	private final int[] lengths = generateLengths();

	private final OutputLengthEstimator estimator = new OutputLengthEstimator();

	OutputLengthEstimatorTests() {
		for (int length : this.lengths) {
			this.estimator.recordGrowth(-1, 0);
			this.estimator.recordGrowth(0, length);
			this.estimator.recordEnd(length);
		}
	}

	private static int[] generateLengths() {
		SplittableRandom random = new SplittableRandom(3);
		return IntStream.range(0, GENERATION_COUNT)
			.map((index) -> (int) Math.max(1, 50 / Math.pow(1 - random.nextDouble(), 0.8)))
			.map((length) -> Math.min(length, 20_000))
			.toArray();
	}

	private double empiricalQuantileRemaining(int currentLength, double quantile) {
		int[] longer = Arrays.stream(this.lengths).filter((length) -> length > currentLength).sorted().toArray();
		return longer[(int) (quantile * (longer.length - 1))] - currentLength;
	}

	@Nested
	class QuantileRemaining {

		@Test
		void quantileMatchesEmpiricalQuantileForNewGeneration() {
			double expected = empiricalQuantileRemaining(0, 0.5);
			assertThat(OutputLengthEstimatorTests.this.estimator.quantileRemaining(0, 0.5),
					closeTo(expected, expected * 0.3));
		}

		@Test
		void remainingQuantileIncreasesWithLengthForHeavyTail() {
			OutputLengthEstimator trainedEstimator = OutputLengthEstimatorTests.this.estimator;
			assertThat(trainedEstimator.quantileRemaining(400, 0.5),
					greaterThan(trainedEstimator.quantileRemaining(0, 0.5)));
		}

	}

	@Nested
	class MeanRemaining {

		@Test
		void meanMatchesEmpiricalMeanForNewGeneration() {
			double expected = Arrays.stream(OutputLengthEstimatorTests.this.lengths).average().orElseThrow();
			assertThat(OutputLengthEstimatorTests.this.estimator.meanRemaining(0), closeTo(expected, expected * 0.35));
		}

	}

}
