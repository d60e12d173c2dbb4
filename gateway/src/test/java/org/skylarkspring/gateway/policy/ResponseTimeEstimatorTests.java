package org.skylarkspring.gateway.policy;

import java.util.stream.LongStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/**
 * Tests {@link ResponseTimeEstimator}.
 */
class ResponseTimeEstimatorTests {

	private final ResponseTimeEstimator estimator = new ResponseTimeEstimator();

	@Nested
	class UsualTime {

		@Test
		void isUnknownBeforeTheFirstResponse() {
			assertThat(ResponseTimeEstimatorTests.this.estimator.usualMillis(), is(-1.0));
		}

		@Test
		void approachesTheMeanOfSteadyResponses() {
			LongStream.range(0, 100).forEach((call) -> ResponseTimeEstimatorTests.this.estimator.record(30));
			assertThat(ResponseTimeEstimatorTests.this.estimator.usualMillis(), closeTo(30, 0.5));
		}

		@Test
		void coversTheSpreadOfVaryingResponses() {
			LongStream.range(0, 100)
				.forEach((call) -> ResponseTimeEstimatorTests.this.estimator.record((call % 2 == 0) ? 20 : 40));
			assertThat(ResponseTimeEstimatorTests.this.estimator.usualMillis(), greaterThan(40.0));
			assertThat(ResponseTimeEstimatorTests.this.estimator.usualMillis(), lessThan(90.0));
		}

		@Test
		void followsAServiceThatSlowsDown() {
			LongStream.range(0, 50).forEach((call) -> ResponseTimeEstimatorTests.this.estimator.record(20));
			LongStream.range(0, 20).forEach((call) -> ResponseTimeEstimatorTests.this.estimator.record(200));
			assertThat(ResponseTimeEstimatorTests.this.estimator.usualMillis(), greaterThan(190.0));
		}

	}

}
