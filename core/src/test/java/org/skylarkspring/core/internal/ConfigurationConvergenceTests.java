package org.skylarkspring.core.internal;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Random;
import java.util.stream.IntStream;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import net.jqwik.api.constraints.Size;

import org.skylarkspring.core.event.Event;
import org.skylarkspring.core.model.DrainDirective;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;

/**
 * Tests that the active revision never decreases and that drain directives converge
 * regardless of the order of delivery.
 */
class ConfigurationConvergenceTests {

	@Property(seed = "31", tries = 100)
	void keepsHighestRevisionWhenOlderRevisionsArrive(
			@ForAll @Size(min = 1, max = 30) List<@IntRange(min = 1, max = 20) Integer> receivedRevisions) {
		CoreHarness harness = new CoreHarness(1);
		long highestRevision = 1;
		for (int revision : receivedRevisions) {
			harness.step(new Event.ConfigurationReceived(CoreHarness.configuration(revision)));
			long activeRevision = harness.pipeline.configuration().orElseThrow().revision();
			assertThat(activeRevision, greaterThanOrEqualTo(highestRevision));
			highestRevision = Math.max(highestRevision, revision);
			assertThat(activeRevision, is(highestRevision));
		}
	}

	@Property(seed = "37", tries = 200)
	void convergesForAnyDeliveryOrderOfDrainDirectives(@ForAll int seed,
			@ForAll @IntRange(min = 1, max = 20) int count) {
		Random random = new Random(seed);
		List<DrainDirective> directives = new ArrayList<>(IntStream.range(0, count)
			.mapToObj((index) -> new DrainDirective(DrainDirective.TargetKind.DATA_CENTRE, "dc" + random.nextInt(3),
					random.nextBoolean(), random.nextInt(5), "entry-" + index))
			.toList());
		DrainDirectiveTable first = new DrainDirectiveTable();
		directives.forEach(first::merge);
		Collections.shuffle(directives, random);
		DrainDirectiveTable second = new DrainDirectiveTable();
		directives.forEach(second::merge);
		assertThat(List.copyOf(second.all()).containsAll(first.all()), is(true));
		assertThat(second.all().size(), is(first.all().size()));
	}

}
