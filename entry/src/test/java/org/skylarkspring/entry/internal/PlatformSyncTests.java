package org.skylarkspring.entry.internal;

import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.BooleanSupplier;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.skylarkspring.core.config.Configuration;
import org.skylarkspring.core.config.DataCentreConfiguration;
import org.skylarkspring.core.model.DrainDirective;
import org.skylarkspring.core.model.InstanceRecord;
import org.skylarkspring.core.model.InstanceRole;
import org.skylarkspring.core.model.InstanceState;
import org.skylarkspring.core.model.Verdict;
import org.skylarkspring.entry.EntrySettings;
import org.skylarkspring.entry.http.Json;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link PlatformSync}.
 */
class PlatformSyncTests {

	private static final long TIMEOUT_MILLIS = 30_000;

	private final ObjectStoreStandIn store = new ObjectStoreStandIn();

	private final ControlState state = new ControlState((event) -> {
	}, new ServiceDirectory());

	private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();

	private final PlatformSync platformSync = new PlatformSync(createSettings(), this.state, this.store, this.scheduler,
			() -> {
			});

	@AfterEach
	void stopPlatformSync() {
		this.platformSync.stop();
		this.scheduler.shutdownNow();
	}

	private static EntrySettings createSettings() {
		return new EntrySettings("entry-1", "kigali-a", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", List.of(), "peer",
				"admin", "TEXT", 1, 1, 1, 1);
	}

	private static ShardedConfiguration createConfiguration(long revision) {
		return ShardedConfiguration
			.split(new Configuration(revision, "p" + revision, List.of(), List.of(), List.of(), List.of()));
	}

	private static Configuration createConfigurationWithRegion(String region) {
		return new Configuration(0, "", List.of(), List.of(), List.of(),
				List.of(new DataCentreConfiguration("kigali-a", region)));
	}

	private static InstanceRecord createBackendInstance(String name) {
		return new InstanceRecord(name, InstanceRole.BACKEND, "inyigisho", "kigali-a", "127.0.0.1:1",
				InstanceState.LIVE);
	}

	private void putShards(ShardedConfiguration sharded) {
		sharded.shards().forEach((name, json) -> this.store.put(ConfigurationWriter.shardKey(name), json));
	}

	private static void await(BooleanSupplier condition) {
		long deadline = System.currentTimeMillis() + TIMEOUT_MILLIS;
		while (!condition.getAsBoolean()) {
			assertThat("condition must hold before the timeout", System.currentTimeMillis() < deadline, is(true));
			Thread.onSpinWait();
		}
	}

	@Nested
	class WhenShardsAreMissing {

		@Test
		void retriesReadingShardsUntilAvailable() {
			ShardedConfiguration sharded = createConfiguration(3);
			PlatformSyncTests.this.store.put(PlatformSync.CONFIGURATION_KEY, Json.write(sharded.manifest()));
			PlatformSyncTests.this.platformSync.start();
			PlatformSyncTests.this.scheduler.execute(() -> putShards(sharded));
			await(() -> PlatformSyncTests.this.state.revision() == 3);
		}

	}

	@Nested
	class WhenAllInstancesHaveLostPower {

		@Test
		void instanceWithNothingKeptAppliesNewestAcknowledgedRevision() {
			ControlState lostState = new ControlState((event) -> {
			}, new ServiceDirectory());
			ConfigurationPublisher publisher = new ConfigurationPublisher(lostState, PlatformSyncTests.this.store);
			publisher.publish(createConfigurationWithRegion("first"), -1).join();
			assertThat(publisher.publish(createConfigurationWithRegion("newest"), -1).join().verdict(),
					is(Verdict.RAN));
			PlatformSyncTests.this.platformSync.start();
			await(() -> PlatformSyncTests.this.state.revision() == 2);
			assertThat(PlatformSyncTests.this.state.configuration(), is(lostState.configuration()));
		}

	}

	@Nested
	class WhenStoreHoldsOlderData {

		@Test
		void writesCurrentRevisionBackToOlderStore() {
			PlatformSyncTests.this.state.applyIfNewer(createConfiguration(5));
			putShards(createConfiguration(4));
			PlatformSyncTests.this.store.put(PlatformSync.CONFIGURATION_KEY,
					Json.write(createConfiguration(4).manifest()));
			PlatformSyncTests.this.platformSync.start();
			await(() -> PlatformSyncTests.this.store.storedJson(PlatformSync.CONFIGURATION_KEY)
				.contains("\"revision\":5"));
			assertThat(PlatformSyncTests.this.state.revision(), is(5L));
		}

		@Test
		void acceptsOlderInstanceListAfterRepeatedReads() {
			InstanceRecord removedInstance = createBackendInstance("engine-1");
			InstanceRecord liveInstance = createBackendInstance("engine-2");
			PlatformSyncTests.this.state.applyIfNewer(new PeerMessages.InstanceList(100, List.of(removedInstance)));
			PlatformSyncTests.this.store.put(PlatformSync.INSTANCES_KEY, Json.write(List.of(liveInstance)));
			PlatformSyncTests.this.platformSync.start();
			await(() -> PlatformSyncTests.this.state.instanceList().instances().equals(List.of(liveInstance)));
			assertThat(PlatformSyncTests.this.state.instanceList().version(), is(101L));
		}

		@Test
		void writesMissingDrainDirectivesBackToStore() {
			PlatformSyncTests.this.state.issueDrainDirective(DrainDirective.TargetKind.DATA_CENTRE, "kigali-b", true,
					"entry-2");
			PlatformSyncTests.this.store.put(PlatformSync.DRAIN_DIRECTIVES_KEY, "{\"directives\":[]}");
			PlatformSyncTests.this.platformSync.start();
			await(() -> PlatformSyncTests.this.store.storedJson(PlatformSync.DRAIN_DIRECTIVES_KEY)
				.contains("kigali-b"));
			assertThat(PlatformSyncTests.this.store.storedJson(PlatformSync.DRAIN_DIRECTIVES_KEY),
					containsString("\"drained\":true"));
		}

	}

}
