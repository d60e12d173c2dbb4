package org.skylarkspring.gateway.internal;

import java.util.ArrayList;
import java.util.List;

import com.google.gson.JsonObject;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.skylarkspring.gateway.model.StoreResult;
import org.skylarkspring.gateway.model.StoredObject;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link ConfigurationPoller}.
 */
class ConfigurationPollerTests {

	private static final long REVOCATION_MILLIS = 5_000;

	private final FakeObjectStore store = new FakeObjectStore();

	private final VirtualTimeScheduler scheduler = new VirtualTimeScheduler();

	private final ConfigurationPoller poller = new ConfigurationPoller(this.store::read, this.store::read,
			new VersionOnlyObjectDecoder(), this.scheduler, new DecisionLog(), REVOCATION_MILLIS);

	@BeforeEach
	void readInitialVersion() {
		this.poller.start();
		this.store.completeNextCall(configurationWithVersion(7));
	}

	private static StoreResult configurationWithVersion(long version) {
		JsonObject content = new JsonObject();
		content.addProperty("version", version);
		return new StoreResult.Listed(List.of(new StoredObject("main", version, content)), version, false);
	}

	private long activeVersion() {
		return this.poller.routingTable().orElseThrow().version();
	}

	@Nested
	class Exceptions {

		private static StoreResult configurationThatDecoderCannotRead() {
			return new StoreResult.Listed(List.of(new StoredObject("main", 8, new JsonObject())), 8, false);
		}

		@Test
		void pollsContinueAfterAnExceptionOfTheDecoder() {
			ConfigurationPollerTests.this.scheduler.advance(1_000);
			ConfigurationPollerTests.this.store.completeNextCall(configurationThatDecoderCannotRead());
			ConfigurationPollerTests.this.scheduler.advance(300);
			ConfigurationPollerTests.this.store.completeNextCall(configurationWithVersion(9));
			assertThat(activeVersion(), is(9L));
		}

		@Test
		void pollsContinueAfterAnExceptionOfATask() {
			List<String> run = new ArrayList<>();
			ConfigurationPollerTests.this.poller.runAfterNextPoll(() -> {
				throw new IllegalStateException("task");
			});
			ConfigurationPollerTests.this.poller.runAfterNextPoll(() -> run.add("next task"));
			ConfigurationPollerTests.this.scheduler.advance(1_000);
			ConfigurationPollerTests.this.store.completeNextCall(configurationWithVersion(7));
			ConfigurationPollerTests.this.scheduler.advance(1_000);
			ConfigurationPollerTests.this.store.completeNextCall(configurationWithVersion(9));
			assertThat(activeVersion(), is(9L));
			assertThat(run, is(List.of("next task")));
		}

	}

	@Nested
	class Freshness {

		@Test
		void isStaleAfterStoreIsUnresponsiveForRevocationPeriod() {
			assertThat(ConfigurationPollerTests.this.poller.isFresh(), is(true));
			ConfigurationPollerTests.this.scheduler.advance(REVOCATION_MILLIS);
			assertThat(ConfigurationPollerTests.this.poller.isFresh(), is(false));
		}

		@Test
		void ageIsMeasuredFromRequestStartNotFromResponse() {
			ConfigurationPollerTests.this.scheduler.advance(1_000);
			ConfigurationPollerTests.this.scheduler.advance(900);
			ConfigurationPollerTests.this.store.completeNextCall(configurationWithVersion(7));
			assertThat(ConfigurationPollerTests.this.poller.ageMillis(), is(900L));
		}

		@Test
		void isStaleAfterMachineSuspensionUntilNextRead() {
			ConfigurationPollerTests.this.scheduler.advanceWallClockOnly(4_000);
			assertThat(ConfigurationPollerTests.this.poller.isFresh(), is(false));
			ConfigurationPollerTests.this.store.completeNextCall(configurationWithVersion(8));
			assertThat(ConfigurationPollerTests.this.poller.isFresh(), is(true));
			assertThat(activeVersion(), is(8L));
		}

		@Test
		void ignoresResultOfReadStartedBeforeSuspension() {
			ConfigurationPollerTests.this.scheduler.advance(1_000);
			FakeObjectStore.PendingCall readBeforeSuspension = ConfigurationPollerTests.this.store.pendingCalls
				.remove(0);
			ConfigurationPollerTests.this.scheduler.advanceWallClockOnly(4_000);
			assertThat(ConfigurationPollerTests.this.poller.isFresh(), is(false));
			readBeforeSuspension.callback().accept(configurationWithVersion(7));
			assertThat(ConfigurationPollerTests.this.poller.isFresh(), is(false));
		}

	}

	@Nested
	class VersionOrder {

		@Test
		void versionStaysConfirmedForItsTimeWhenStoreReturnsOlderVersion() {
			ConfigurationPollerTests.this.scheduler.advance(1_000);
			ConfigurationPollerTests.this.store.completeNextCall(configurationWithVersion(6));
			assertThat(ConfigurationPollerTests.this.poller.isFresh(), is(true));
			assertThat(ConfigurationPollerTests.this.poller.ageMillis(), is(1_000L));
		}

		@Test
		void keepsNewerVersionAndBecomesStaleWhenStoreReturnsOlderVersion() {
			ConfigurationPollerTests.this.scheduler.advance(1_000);
			ConfigurationPollerTests.this.store.completeNextCall(configurationWithVersion(6));
			assertThat(activeVersion(), is(7L));
			ConfigurationPollerTests.this.scheduler.advance(4_000);
			assertThat(ConfigurationPollerTests.this.poller.isFresh(), is(false));
		}

	}

	@Nested
	class StoreChecks {

		@Test
		void checkInterruptedBySuspensionIsRepeated() {
			List<String> events = new ArrayList<>();
			ConfigurationPollerTests.this.poller.runAfterStoreCheck(() -> events.add("checked"));
			ConfigurationPollerTests.this.store.pendingCalls.clear();
			ConfigurationPollerTests.this.scheduler.advanceWallClockOnly(4_000);
			ConfigurationPollerTests.this.poller.isFresh();
			while (!ConfigurationPollerTests.this.store.pendingCalls.isEmpty()) {
				ConfigurationPollerTests.this.store.completeNextCall(configurationWithVersion(7));
			}
			assertThat(events, is(List.of("checked")));
		}

		@Test
		void configurationIsRecentForLessThanTheTimeToApplyVersions() {
			assertThat(ConfigurationPollerTests.this.poller.isRecent(), is(true));
			ConfigurationPollerTests.this.scheduler.advance(1_600);
			assertThat(ConfigurationPollerTests.this.poller.isRecent(), is(false));
		}

		@Test
		void storeChecksBetweenPollsDoNotAddPolls() {
			for (int count = 0; count < 20; count++) {
				ConfigurationPollerTests.this.poller.runAfterStoreCheck(() -> {
				});
				ConfigurationPollerTests.this.store.completeNextCall(configurationWithVersion(7));
			}
			ConfigurationPollerTests.this.scheduler.advance(1_000);
			assertThat(ConfigurationPollerTests.this.store.pendingCalls.size(), is(1));
		}

	}

}
