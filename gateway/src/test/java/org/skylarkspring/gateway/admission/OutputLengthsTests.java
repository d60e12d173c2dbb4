package org.skylarkspring.gateway.admission;

import java.util.OptionalInt;
import java.util.stream.Stream;

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

	// An event holds four tokens, which the callers' estimates show.
	private void learn(String route, String workspace, int events) {
		GenerationSize size = new GenerationSize(1_000, 2_000, OptionalInt.of(4 * events));
		for (int count = 0; count < 40; count++) {
			OutputLengths.Generation generation = new OutputLengths.Generation(request(route, workspace), size);
			for (int event = 1; event <= events; event++) {
				this.lengths.recordEvent(generation, event);
			}
			this.lengths.recordEnd(generation, 0);
		}
	}

	private long expectedTokens(String route, String workspace) {
		return this.lengths.expectedTokens(request(route, workspace), SIZE, 0);
	}

	@Test
	void estimateOfTheCallerIsUsedUntilLengthsAreKnown() {
		assertThat(expectedTokens("r", "w"), is(1_400L));
	}

	@Test
	void learntLengthIsThatOfTheWorkspaceOnTheRoute() {
		learn("r", "w", 200);
		learn("r", "v", 50);
		learn("other", "w", 25);
		assertThat(expectedTokens("r", "w"), is(1_800L));
		assertThat(expectedTokens("r", "v"), is(1_200L));
		assertThat(expectedTokens("other", "w"), is(1_100L));
	}

	@Test
	void unknownWorkspaceGetsTheLengthOfTheRoute() {
		learn("r", "w", 200);
		assertThat(expectedTokens("r", "new"), is(1_800L));
	}

	// A learnt length must not exceed what the request allows.
	@Test
	void learntLengthIsLimitedByTheRequest() {
		learn("r", "w", 200);
		assertThat(
				this.lengths.expectedTokens(request("r", "w"), new GenerationSize(1_000, 50, OptionalInt.empty()), 0),
				is(1_050L));
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
		assertThat(this.demand.own(Stream.empty(), 0).size(), lessThanOrEqualTo(512));
	}

}
