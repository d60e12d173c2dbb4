package org.skylarkspring.gateway.admission;

import java.util.OptionalInt;

import org.junit.jupiter.api.Test;

import org.skylarkspring.gateway.model.GenerationSize;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests for {@link OutputLengths}.
 */
class OutputLengthsTests {

	private static final GenerationSize SIZE = new GenerationSize(1_000, 2_000, OptionalInt.of(400));

	private final DemandTable demand = new DemandTable();

	private final OutputLengths lengths = new OutputLengths(this.demand);

	private static AdmissionRequest request(String route, String workspace) {
		return new AdmissionRequest(1, "s", route, workspace, 0, 1_400, 0, 4_000, 20_000);
	}

	private void learn(String route, String workspace, int events) {
		for (int count = 0; count < 40; count++) {
			OutputLengths.Generation generation = new OutputLengths.Generation(request(route, workspace), SIZE);
			for (int event = 1; event <= events; event++) {
				this.lengths.recordEvent(generation, event);
			}
			this.lengths.recordEnd(generation, 0);
		}
	}

	@Test
	void estimateOfTheCallerIsUsedUntilLengthsAreKnown() {
		assertThat(this.lengths.expectedTokens(request("r", "w"), SIZE, 0), is(1_400L));
	}

	// The callers' estimates say that an event holds four tokens.
	@Test
	void learntLengthIsThatOfTheWorkspaceOnTheRoute() {
		learn("r", "w", 100);
		learn("other", "w", 50);
		assertThat(this.lengths.expectedTokens(request("r", "w"), SIZE, 0), is(1_400L));
	}

	@Test
	void unknownWorkspaceGetsTheLengthOfTheRoute() {
		learn("r", "w", 100);
		assertThat(this.lengths.expectedTokens(request("r", "new"), new GenerationSize(1_000, 2_000, OptionalInt.of(5)),
				0), is(1_400L));
	}

	// Guards against a reservation that a generation has outgrown.
	@Test
	void reservationGrowsWithGenerationThatIsLongerThanUsual() {
		learn("r", "w", 100);
		OutputLengths.Generation generation = new OutputLengths.Generation(request("r", "w"), SIZE);
		for (int event = 1; event <= 200; event++) {
			this.lengths.recordEvent(generation, event);
		}
		assertThat(generation.expectedTokens(), greaterThan(1_600L));
		assertThat(generation.expectedTokens(), lessThanOrEqualTo(3_000L));
	}

	@Test
	void tablesAreBounded() {
		for (int workspace = 0; workspace < 400; workspace++) {
			OutputLengths.Generation generation = new OutputLengths.Generation(request("r", "w" + workspace), SIZE);
			this.lengths.recordEvent(generation, 100);
			this.lengths.recordEnd(generation, 0);
		}
		assertThat(this.lengths.estimatorCount(), lessThanOrEqualTo(257));
		assertThat(this.demand.own(java.util.stream.Stream.empty(), 0).size(), lessThanOrEqualTo(512));
	}

}
