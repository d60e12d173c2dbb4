package org.skylarkspring.gateway.internal;

import java.util.List;

import com.google.gson.Gson;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link PeerLoadReport}.
 */
class PeerLoadReportTests {

	@Nested
	class InvalidEntries {

		private final Gson gson = new Gson();

		private PeerLoadReport read(String loads, String draining, String rateLimits) {
			return this.gson
				.fromJson("{\"instanceId\":\"i1\",\"relay\":true,\"loads\":[" + loads + "],\"draining\":[" + draining
						+ "],\"rateLimits\":[" + rateLimits + "]}", PeerLoadReport.class)
				.withoutInvalidEntries();
		}

		@Test
		void invalidLoadsDoNotAffectTheOthers() {
			String sound = "{\"serverId\":\"s1\",\"running\":2,\"promisedTokens\":3,\"unreadTokens\":4}";
			String large = sound.replace("3", "9000000000000000000");
			String negative = sound.replace("2", "-2");
			String running = sound.replace("2", "2000000000");
			assertThat(read(String.join(",", "null", "{}", large, negative, running, sound), "", "").loads(),
					is(List.of(new PeerLoadReport.ServerLoad("s1", 2, 3, 4))));
		}

		@Test
		void invalidIncarnationsAndLimitsDoNotAffectTheOthers() {
			String server = "{\"serverId\":\"s1\",\"startedAtEpochMillis\":5}";
			String limit = "{\"incarnation\":" + server + ",\"requestsPerSecond\":6,\"ageMillis\":7}";
			PeerLoadReport report = read("", "null,{}," + server, String.join(",", "null", "{}",
					limit.replace("6", "1e999"), limit.replace("6", "-6"), limit.replace("7}", "-7}"), limit));
			assertThat(report.draining().size(), is(1));
			assertThat(report.knownRateLimits().size(), is(1));
		}

	}

}
