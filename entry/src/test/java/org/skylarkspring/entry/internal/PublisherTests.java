package org.skylarkspring.entry.internal;

import java.util.List;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.skylarkspring.core.config.Configuration;
import org.skylarkspring.core.model.Verdict;
import org.skylarkspring.entry.http.Json;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

/**
 * An accepted configuration is in force, and publishers are told the truth.
 */
class PublisherTests {

	private final FakeStore store = new FakeStore();

	private final ControlState state = new ControlState((event) -> {
	}, new ServiceDirectory());

	private final Publisher publisher = new Publisher(this.state, this.store);

	private static Configuration content() {
		return new Configuration(0, "", List.of(), List.of(), List.of(), List.of());
	}

	private Publisher.PublishResult publish() {
		return this.publisher.publish(content(), -1).join();
	}

	private long storedRevision() {
		return Json.read(this.store.json(PlatformSync.CONFIGURATION), ConfigurationManifest.class)
			.orElseThrow()
			.revision();
	}

	@Nested
	class Races {

		@Test
		void haveOneWinnerAndTellTheOtherTheTruth() {
			publish();
			PublisherTests.this.store.beforeNextWrite(() -> {
				Publisher other = new Publisher(new ControlState((event) -> {
				}, new ServiceDirectory()), PublisherTests.this.store);
				assertThat(other.publish(content(), -1).join().verdict(), is(Verdict.RAN));
			});
			Publisher.PublishResult loser = publish();
			assertThat(loser.verdict(), is(Verdict.NOT_RUN));
			assertThat(loser.message(), containsString("another publication won with revision 2"));
			assertThat(storedRevision(), is(2L));
			assertThat(PublisherTests.this.state.revision(), is(1L));
		}

	}

	@Nested
	class LostAnswers {

		@Test
		void areSettledWithoutASecondRevision() {
			publish();
			PublisherTests.this.store.loseAnswers(1);
			Publisher.PublishResult result = publish();
			assertThat(result.verdict(), is(Verdict.RAN));
			assertThat(result.revision(), is(2L));
			assertThat(storedRevision(), is(2L));
		}

		@Test
		void areMayHaveRunWhenTheyCannotBeSettled() {
			publish();
			PublisherTests.this.store.loseAnswers(10);
			Publisher.PublishResult result = publish();
			assertThat(storedRevision(), is(2L));
			assertThat(result.verdict(), is(Verdict.MAY_HAVE_RUN));
		}

	}

	@Nested
	class LostShards {

		@Test
		void publishNothing() {
			PublisherTests.this.store.loseAnswers(10);
			assertThat(publish().verdict(), is(Verdict.NOT_RUN));
			assertThat(PublisherTests.this.state.revision(), is(0L));
		}

	}

	@Nested
	class Outage {

		@Test
		void refusesWithNothingChanged() {
			PublisherTests.this.store.out(true);
			assertThat(publish().verdict(), is(Verdict.NOT_RUN));
		}

	}

	@Nested
	class OlderStore {

		@Test
		void neverLowersTheRevision() {
			publish();
			String old = PublisherTests.this.store.json(PlatformSync.CONFIGURATION);
			publish();
			publish();
			PublisherTests.this.store.put(PlatformSync.CONFIGURATION, old);
			assertThat(publish().revision(), is(4L));
			assertThat(PublisherTests.this.state.revision(), is(4L));
		}

	}

	@Nested
	class ExpectedRevision {

		@Test
		void refusesOverAnotherRevision() {
			publish();
			Publisher.PublishResult result = PublisherTests.this.publisher.publish(content(), 0).join();
			assertThat(result.verdict(), is(Verdict.NOT_RUN));
			assertThat(result.message(), containsString("revision 1 is in force"));
		}

	}

}
