package org.skylarkspring.gateway.internal;

import java.util.List;

import com.google.gson.JsonObject;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.skylarkspring.gateway.model.CallKind;
import org.skylarkspring.gateway.model.StoreResult;
import org.skylarkspring.gateway.model.StoredObject;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link Lifecycle}.
 */
class LifecycleTests {

	private static final long GRACE_MILLIS = 8_000;

	private final FakeObjectStore store = new FakeObjectStore();

	private final VirtualTime time = new VirtualTime();

	private final DecisionLog log = new DecisionLog();

	private final ServerTable servers = new ServerTable((entry) -> {
	});

	private final ConfigurationFeed configuration = new ConfigurationFeed(this.store::read, this.store::read,
			new VersionDecoder(), this.time, this.log, 5_000);

	private final Lifecycle lifecycle = new Lifecycle(this.time, this.log, GRACE_MILLIS, this.configuration,
			this.servers);

	private boolean exited;

	@BeforeEach
	void read() {
		this.configuration.start();
		JsonObject content = new JsonObject();
		content.addProperty("version", 1);
		this.store.answer(new StoreResult.Listed(List.of(new StoredObject("main", 1, content)), 1, false));
		this.servers.replaceAll(List.of(), false, 0);
	}

	@Nested
	class Readiness {

		@Test
		void endsWithTheAgeOfTheConfiguration() {
			assertThat(LifecycleTests.this.lifecycle.ready(), is(true));
			LifecycleTests.this.time.pass(5_000);
			assertThat(LifecycleTests.this.lifecycle.ready(), is(false));
		}

	}

	@Nested
	class Shutdown {

		private int active = 1;

		@BeforeEach
		void stop() {
			LifecycleTests.this.lifecycle.stop(() -> this.active, () -> LifecycleTests.this.exited = true);
		}

		@Test
		void refusesAtOnceWhatMayNotBeRepeatedAndRunsLong() {
			assertThat(LifecycleTests.this.lifecycle.refuses(CallKind.STREAM), is(true));
			assertThat(LifecycleTests.this.lifecycle.refuses(CallKind.RESUMABLE_STREAM), is(false));
			assertThat(LifecycleTests.this.lifecycle.refuses(CallKind.AT_MOST_ONCE), is(false));
		}

		@Test
		void refusesEverythingLongBeforeItEnds() {
			LifecycleTests.this.time.pass(2_600);
			assertThat(LifecycleTests.this.lifecycle.refuses(CallKind.RESUMABLE_STREAM), is(true));
			assertThat(LifecycleTests.this.lifecycle.refuses(CallKind.AT_MOST_ONCE), is(true));
		}

		@Test
		void waitsForWhatRunsUntilTheGraceEnds() {
			LifecycleTests.this.time.pass(7_000);
			assertThat(LifecycleTests.this.exited, is(false));
			LifecycleTests.this.time.pass(900);
			assertThat(LifecycleTests.this.exited, is(true));
		}

		@Test
		void waitsForTheBalancerEvenWhenNothingRuns() {
			this.active = 0;
			LifecycleTests.this.time.pass(2_000);
			assertThat(LifecycleTests.this.exited, is(false));
			LifecycleTests.this.time.pass(1_100);
			assertThat(LifecycleTests.this.exited, is(true));
		}

	}

}
