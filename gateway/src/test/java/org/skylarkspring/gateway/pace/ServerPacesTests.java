package org.skylarkspring.gateway.pace;

import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.skylarkspring.gateway.peer.PeerDigest;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.closeTo;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/**
 * Tests for {@link ServerPaces}.
 */
class ServerPacesTests {

	private static final List<String> SERVERS = List.of("fast", "slow", "unknown");

	private final ServerPaces paces = new ServerPaces();

	private void report(String serverId, int durationPercent, int count) {
		for (int i = 0; i < count; i++) {
			this.paces.recordReport(serverId, durationPercent, i);
		}
	}

	private ServicePaces service(long nowMillis) {
		return this.paces.ofService(SERVERS, nowMillis).orElseThrow();
	}

	@Nested
	class Knowledge {

		@Test
		void servicesWithoutReportsHaveNoPaceAndSendNothing() {
			ServerPacesTests.this.paces.recordStream("fast", 40, 90, 0);
			assertThat(ServerPacesTests.this.paces.ofService(SERVERS, 0).isPresent(), is(false));
			assertThat(ServerPacesTests.this.paces.ownDigest(0).isEmpty(), is(true));
		}

		@Test
		void serverWithoutReportsCountsAsAverage() {
			report("fast", 50, 10);
			report("slow", 150, 10);
			assertThat(service(10).servers().get("unknown").averageDurationFactor(), closeTo(1, 0.01));
			assertThat(service(10).servers().get("fast").averageDurationFactor(), lessThan(0.6));
		}

		@Test
		void singleDisturbanceDoesNotMakeAServerSlow() {
			report("fast", 55, 20);
			report("slow", 120, 20);
			ServerPacesTests.this.paces.recordReport("fast", 137, 20);
			ServerPace disturbed = service(20).servers().get("fast");
			assertThat(disturbed.averageDurationFactor(), lessThan(0.7));
			assertThat(disturbed.currentDurationFactor(), greaterThan(1.3));
			assertThat(service(1_500).servers().get("fast").currentDurationFactor(), lessThan(0.7));
		}

		@Test
		void observationsLapse() {
			report("fast", 50, 10);
			assertThat(ServerPacesTests.this.paces.ofService(SERVERS, 12_000).isPresent(), is(false));
		}

		@Test
		void streamsAreComparedAtTheUsualPace() {
			report("fast", 50, 1_000);
			report("slow", 200, 1_000);
			ServerPacesTests.this.paces.recordStream("fast", 20, 50, 1_000);
			ServerPacesTests.this.paces.recordStream("slow", 80, 200, 1_000);
			assertThat(service(1_000).intervalMillis().orElseThrow(), closeTo(40, 1));
			assertThat(service(1_000).longestPauseMillis().orElseThrow(), closeTo(100, 1));
		}

	}

	@Nested
	class Exchange {

		@Test
		void peersAddTheirObservationsOnce() {
			ServerPaces other = new ServerPaces();
			other.recordReport("slow", 200, 0);
			PeerDigest digest = other.ownDigest(0);
			report("fast", 100, 1);
			ServerPacesTests.this.paces.onPeerDigest(digest, 0);
			ServerPacesTests.this.paces.onPeerDigest(digest, 1);
			assertThat(service(1).averageDurationFactor(), closeTo(1.5, 0.001));
			assertThat(ServerPacesTests.this.paces.durationPercent("slow", 1).getAsInt(), is(200));
		}

		@Test
		void observationsOfPeersLapseWhenNoReportArrives() {
			ServerPaces other = new ServerPaces();
			other.recordReport("slow", 200, 0);
			ServerPacesTests.this.paces.onPeerDigest(other.ownDigest(0), 0);
			assertThat(ServerPacesTests.this.paces.ofService(SERVERS, 1_999).isPresent(), is(true));
			assertThat(ServerPacesTests.this.paces.ofService(SERVERS, 2_000).isPresent(), is(false));
		}

		@Test
		void expiredReportsOfPeersAreForgotten() {
			ServerPaces other = new ServerPaces();
			other.recordReport("slow", 200, 0);
			ServerPacesTests.this.paces.onPeerDigest(other.ownDigest(0), 0);
			ServerPacesTests.this.paces.onPeerDigest(PeerDigest.EMPTY, 1);
			assertThat(ServerPacesTests.this.paces.ofService(SERVERS, 1).isPresent(), is(false));
		}

	}

}
