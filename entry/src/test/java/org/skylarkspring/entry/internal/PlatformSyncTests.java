package org.skylarkspring.entry.internal;

import java.util.List;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.function.BooleanSupplier;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.skylarkspring.core.config.Configuration;
import org.skylarkspring.core.model.DrainDirective;
import org.skylarkspring.core.model.InstanceRecord;
import org.skylarkspring.core.model.InstanceRole;
import org.skylarkspring.core.model.InstanceState;
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

	private final FakeStore store = new FakeStore();

	private final ControlState state = new ControlState((event) -> {
	}, new ServiceDirectory());

	private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor();

	private final PlatformSync sync = new PlatformSync(settings(), this.state, this.store, this.scheduler, () -> {
	});

	@AfterEach
	void stop() {
		this.sync.stop();
		this.scheduler.shutdownNow();
	}

	private static EntrySettings settings() {
		return new EntrySettings("entry-1", "kigali-a", "127.0.0.1:1", "127.0.0.1:2", "127.0.0.1:3", List.of(), "peer",
				"admin", "TEXT", 1, 1, 1, 1);
	}

	private static ShardedConfiguration revision(long number) {
		return ShardedConfiguration
			.split(new Configuration(number, "p" + number, List.of(), List.of(), List.of(), List.of()));
	}

	private static InstanceRecord row(String name) {
		return new InstanceRecord(name, InstanceRole.BACKEND, "inyigisho", "kigali-a", "127.0.0.1:1",
				InstanceState.LIVE);
	}

	private void putShards(ShardedConfiguration sharded) {
		sharded.shards().forEach((name, json) -> this.store.put(ConfigurationWriter.shardKey(name), json));
	}

	private static void await(BooleanSupplier condition) {
		long end = System.currentTimeMillis() + TIMEOUT_MILLIS;
		while (!condition.getAsBoolean()) {
			assertThat("in time", System.currentTimeMillis() < end, is(true));
			Thread.onSpinWait();
		}
	}

	@Nested
	class Shards {

		@Test
		void thatAreMissingAtFirstAreReadAgain() {
			ShardedConfiguration sharded = revision(3);
			PlatformSyncTests.this.store.put(PlatformSync.CONFIGURATION, Json.write(sharded.manifest()));
			PlatformSyncTests.this.sync.start();
			PlatformSyncTests.this.scheduler.execute(() -> putShards(sharded));
			await(() -> PlatformSyncTests.this.state.revision() == 3);
		}

	}

	@Nested
	class OlderStore {

		@Test
		void isBroughtUpToTheRevisionInForce() {
			PlatformSyncTests.this.state.offer(revision(5));
			putShards(revision(4));
			PlatformSyncTests.this.store.put(PlatformSync.CONFIGURATION, Json.write(revision(4).manifest()));
			PlatformSyncTests.this.sync.start();
			await(() -> PlatformSyncTests.this.store.json(PlatformSync.CONFIGURATION).contains("\"revision\":5"));
			assertThat(PlatformSyncTests.this.state.revision(), is(5L));
		}

		@Test
		void isBelievedOnInstancesOnceItKeepsAnsweringSo() {
			InstanceRecord gone = row("engine-1");
			InstanceRecord live = row("engine-2");
			PlatformSyncTests.this.state.offer(new PeerMessages.InstanceList(100, List.of(gone)));
			PlatformSyncTests.this.store.put(PlatformSync.INSTANCES, Json.write(List.of(live)));
			PlatformSyncTests.this.sync.start();
			await(() -> PlatformSyncTests.this.state.instances().instances().equals(List.of(live)));
			assertThat(PlatformSyncTests.this.state.instances().version(), is(101L));
		}

		@Test
		void getsDirectivesBackThatItLacks() {
			PlatformSyncTests.this.state.issue(DrainDirective.TargetKind.DATA_CENTRE, "kigali-b", true, "entry-2");
			PlatformSyncTests.this.store.put(PlatformSync.DIRECTIVES, "{\"directives\":[]}");
			PlatformSyncTests.this.sync.start();
			await(() -> PlatformSyncTests.this.store.json(PlatformSync.DIRECTIVES).contains("kigali-b"));
			assertThat(PlatformSyncTests.this.store.json(PlatformSync.DIRECTIVES), containsString("\"drained\":true"));
		}

	}

}
