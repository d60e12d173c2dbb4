package org.skylarkspring.gateway.placement;

import java.util.ArrayList;
import java.util.List;
import java.util.stream.Stream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.skylarkspring.gateway.peer.PeerDigest;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests for {@link DataCentreTraffic}.
 */
class DataCentreTrafficTests {

	private static final long CAPACITY_TOKENS = 100_000;

	private final List<DataCentreFlow> own = new ArrayList<>();

	private final DataCentreTraffic traffic = new DataCentreTraffic(() -> this.own);

	private void peers(DataCentreFlow... flows) {
		this.traffic.onPeerDigest(PeerDigest.sum(Stream.of(new PeerDigest(null, null, null, null, List.of(flows)))), 0);
	}

	@Nested
	class ForeignRoomOfADataCentre {

		@Test
		void isWhatItsOwnInstancesDoNotNeedLessWhatOthersUse() {
			peers(DataCentreFlow.of("s", "b", "b", 40_000), DataCentreFlow.of("s", "c", "b", 10_000));
			DataCentreTrafficTests.this.own.add(DataCentreFlow.of("s", "a", "b", 4_000));
			assertThat(DataCentreTrafficTests.this.traffic.spareTokens("s", "b", CAPACITY_TOKENS, 0), is(30_000L));
		}

		@Test
		void ignoresOtherServicesAndDataCentres() {
			peers(DataCentreFlow.of("t", "b", "b", 40_000), DataCentreFlow.of("s", "a", "a", 40_000));
			assertThat(DataCentreTrafficTests.this.traffic.spareTokens("s", "b", CAPACITY_TOKENS, 0), is(90_000L));
		}

		@Test
		void endsAsThePeakOfItsOwnInstancesRises() {
			peers(DataCentreFlow.of("s", "b", "b", 80_000));
			assertThat(DataCentreTrafficTests.this.traffic.spareTokens("s", "b", CAPACITY_TOKENS, 0), is(0L));
		}

	}

	@Nested
	class LostReports {

		@Test
		void useByOthersIsForgottenWhenNoReportArrives() {
			peers(DataCentreFlow.of("s", "b", "b", 80_000));
			assertThat(DataCentreTrafficTests.this.traffic.spareTokens("s", "b", CAPACITY_TOKENS, 1_999), is(0L));
			assertThat(DataCentreTrafficTests.this.traffic.spareTokens("s", "b", CAPACITY_TOKENS, 2_000), is(90_000L));
		}

	}

	@Nested
	class TwoPeaks {

		@Test
		void atMostOneOfTwoDataCentresIsNotANetImporter() {
			peers(DataCentreFlow.of("s", "a", "b", 5_000), DataCentreFlow.of("s", "b", "a", 9_000));
			boolean a = DataCentreTrafficTests.this.traffic.isNetImporter("s", "a", 0);
			boolean b = DataCentreTrafficTests.this.traffic.isNetImporter("s", "b", 0);
			assertThat(a, is(true));
			assertThat(b, is(false));
		}

		// Three data centres send to one with room until their reports show that it has
		// none; what is sent between two reports is bounded by the load that arrives.
		@Test
		void whatIsSentStaysWithinTheRoom() {
			long sent = 0;
			for (int step = 0; step < 200; step++) {
				peers(DataCentreFlow.of("s", "b", "b", 50_000), DataCentreFlow.of("s", "a", "b", sent));
				if (DataCentreTrafficTests.this.traffic.spareTokens("s", "b", CAPACITY_TOKENS, 0) >= 3_750) {
					sent += 3_750;
				}
			}
			assertThat(sent, lessThanOrEqualTo(32_500L));
		}

	}

}
