package org.skylarkspring.core.internal;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;

/**
 * Tests that only servers that have not completed their warm-up are reported to peers.
 */
class UnfinishedWarmupRecordsTests {

	private final CoreHarness harness = new CoreHarness(3);

	@Nested
	class UnfinishedWarmupRecords {

		@Test
		void excludesWarmServers() {
			assertThat(UnfinishedWarmupRecordsTests.this.harness.pipeline.warmupRecords(), hasSize(6));
			assertThat(UnfinishedWarmupRecordsTests.this.harness.pipeline.unfinishedWarmupRecords(), hasSize(0));
		}

		@Test
		void includesServerAsSoonAsNewIncarnationReports() {
			UnfinishedWarmupRecordsTests.this.harness.nowMillis += 500;
			UnfinishedWarmupRecordsTests.this.harness.reportLoad(CoreHarness.GENERATION_SERVICE + "-1", 2, 0, 0);
			assertThat(UnfinishedWarmupRecordsTests.this.harness.pipeline.unfinishedWarmupRecords(), hasSize(1));
			assertThat(
					UnfinishedWarmupRecordsTests.this.harness.pipeline.unfinishedWarmupRecords().get(0).incarnation(),
					is(2L));
		}

	}

}
