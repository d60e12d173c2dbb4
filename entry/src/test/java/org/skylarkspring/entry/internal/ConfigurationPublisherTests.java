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
 * Tests of {@link ConfigurationPublisher}. A configuration whose publication has the
 * verdict {@link Verdict#RAN} must be stored and current. The verdict must match the
 * content of the store also after a conflict, a lost response or an outage.
 */
class ConfigurationPublisherTests {

	private final ObjectStoreStandIn store = new ObjectStoreStandIn();

	private final ControlState state = new ControlState((event) -> {
	}, new ServiceDirectory());

	private final ConfigurationPublisher publisher = new ConfigurationPublisher(this.state, this.store);

	private static Configuration createEmptyConfiguration() {
		return new Configuration(0, "", List.of(), List.of(), List.of(), List.of());
	}

	private ConfigurationPublisher.PublishResult publish() {
		return this.publisher.publish(createEmptyConfiguration(), -1).join();
	}

	private long storedRevision() {
		return Json.read(this.store.storedJson(PlatformSync.CONFIGURATION_KEY), ConfigurationManifest.class)
			.orElseThrow()
			.revision();
	}

	@Nested
	class ConcurrentPublications {

		@Test
		void reportsNotRunWhenAnotherPublicationWins() {
			publish();
			ConfigurationPublisherTests.this.store.runBeforeNextWrite(() -> {
				ConfigurationPublisher otherPublisher = new ConfigurationPublisher(new ControlState((event) -> {
				}, new ServiceDirectory()), ConfigurationPublisherTests.this.store);
				assertThat(otherPublisher.publish(createEmptyConfiguration(), -1).join().verdict(), is(Verdict.RAN));
			});
			ConfigurationPublisher.PublishResult result = publish();
			assertThat(result.verdict(), is(Verdict.NOT_RUN));
			assertThat(result.message(), containsString("a concurrent publication committed revision 2"));
			assertThat(storedRevision(), is(2L));
			assertThat(ConfigurationPublisherTests.this.state.revision(), is(1L));
		}

	}

	@Nested
	class WhenResponsesAreLost {

		@Test
		void reportsRanWithoutSecondRevisionAfterOneLostResponse() {
			publish();
			ConfigurationPublisherTests.this.store.loseResponses(1);
			ConfigurationPublisher.PublishResult result = publish();
			assertThat(result.verdict(), is(Verdict.RAN));
			assertThat(result.revision(), is(2L));
			assertThat(storedRevision(), is(2L));
		}

		@Test
		void reportsMayHaveRunWhenEveryManifestResponseIsLost() {
			publish();
			ConfigurationPublisherTests.this.store.loseResponses(10);
			ConfigurationPublisher.PublishResult result = publish();
			assertThat(storedRevision(), is(2L));
			assertThat(result.verdict(), is(Verdict.MAY_HAVE_RUN));
		}

	}

	@Nested
	class WhenShardResponsesAreLost {

		@Test
		void reportsNotRunAndKeepsRevisionWhenShardResponsesAreLost() {
			ConfigurationPublisherTests.this.store.loseResponses(10);
			assertThat(publish().verdict(), is(Verdict.NOT_RUN));
			assertThat(ConfigurationPublisherTests.this.state.revision(), is(0L));
		}

	}

	@Nested
	class WhenStoreIsUnavailable {

		@Test
		void reportsNotRunWhenStoreIsUnavailable() {
			ConfigurationPublisherTests.this.store.setUnavailable(true);
			assertThat(publish().verdict(), is(Verdict.NOT_RUN));
		}

	}

	@Nested
	class WhenStoreHoldsOlderRevision {

		@Test
		void publishesAboveCurrentRevisionWhenStoreIsOlder() {
			publish();
			String olderManifest = ConfigurationPublisherTests.this.store.storedJson(PlatformSync.CONFIGURATION_KEY);
			publish();
			publish();
			ConfigurationPublisherTests.this.store.put(PlatformSync.CONFIGURATION_KEY, olderManifest);
			assertThat(publish().revision(), is(4L));
			assertThat(ConfigurationPublisherTests.this.state.revision(), is(4L));
		}

	}

	@Nested
	class WithExpectedRevision {

		@Test
		void reportsNotRunWhenExpectedRevisionDiffers() {
			publish();
			ConfigurationPublisher.PublishResult result = ConfigurationPublisherTests.this.publisher
				.publish(createEmptyConfiguration(), 0)
				.join();
			assertThat(result.verdict(), is(Verdict.NOT_RUN));
			assertThat(result.message(), containsString("current revision is 1, expected"));
		}

	}

}
