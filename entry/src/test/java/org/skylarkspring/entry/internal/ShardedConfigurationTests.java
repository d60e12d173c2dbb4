package org.skylarkspring.entry.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletableFuture;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.skylarkspring.core.config.Configuration;
import org.skylarkspring.core.config.WorkspaceConfiguration;
import org.skylarkspring.core.model.WorkClass;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/**
 * Tests of {@link ShardedConfiguration} and {@link ConfigurationFetcher}.
 */
class ShardedConfigurationTests {

	private static final int WORKSPACES = 2_600;

	private static Configuration configuration(long revision, int changedWeight) {
		List<WorkspaceConfiguration> workspaces = IntStream.range(0, WORKSPACES)
			.mapToObj((index) -> new WorkspaceConfiguration("workspace-" + index, String.format("%064x", index),
					(index == 7) ? changedWeight : 1, WorkClass.DEADLINE, List.of("model-1", "model-2")))
			.toList();
		return new Configuration(revision, "p" + revision, List.of(), List.of(), workspaces, List.of());
	}

	private static ControlState state() {
		return new ControlState((event) -> {
		}, new ServiceDirectory());
	}

	@Nested
	class Assembly {

		@Test
		void givesTheWholeConfigurationBack() {
			ShardedConfiguration sharded = ShardedConfiguration.split(configuration(3, 1));
			ShardedConfiguration again = ShardedConfiguration.assemble(sharded.manifest(), sharded.shards())
				.orElseThrow();
			assertThat(again.configuration().workspaces().containsAll(sharded.configuration().workspaces()), is(true));
			assertThat(again.configuration().revision(), is(3L));
		}

		@Test
		void refusesAShardThatIsNotWhatItsNameSays() {
			ShardedConfiguration sharded = ShardedConfiguration.split(configuration(3, 1));
			Map<String, String> spoilt = new HashMap<>(sharded.shards());
			String name = sharded.manifest().shards().get(5);
			spoilt.put(name, spoilt.get(name).replace("\"weight\":1", "\"weight\":2"));
			assertThat(ShardedConfiguration.assemble(sharded.manifest(), spoilt).isPresent(), is(false));
		}

	}

	@Nested
	class Offering {

		@Test
		void neverLowersTheRevisionOfAnInstance() {
			ControlState state = state();
			assertThat(state.offer(ShardedConfiguration.split(configuration(2, 1))), is(true));
			assertThat(state.offer(ShardedConfiguration.split(configuration(1, 5))), is(false));
			assertThat(state.offer(ShardedConfiguration.split(configuration(2, 5))), is(false));
			assertThat(state.revision(), is(2L));
		}

	}

	@Nested
	class Fetching {

		@Test
		void movesOnlyTheShardsThatChanged() {
			ControlState state = state();
			state.offer(ShardedConfiguration.split(configuration(1, 1)));
			ShardedConfiguration next = ShardedConfiguration.split(configuration(2, 5));
			List<String> asked = new ArrayList<>();
			boolean applied = new ConfigurationFetcher(state).apply(next.manifest(), (names) -> {
				asked.addAll(names);
				return CompletableFuture.completedFuture(next.shards());
			}).join();
			assertThat(applied, is(true));
			assertThat(asked, hasSize(1));
			assertThat(next.shards().get(asked.get(0)).length(), lessThan(16_000));
			assertThat(state.revision(), is(2L));
		}

		@Test
		void neverAppliesALowerRevision() {
			ControlState state = state();
			state.offer(ShardedConfiguration.split(configuration(2, 1)));
			ShardedConfiguration old = ShardedConfiguration.split(configuration(1, 5));
			boolean applied = new ConfigurationFetcher(state)
				.apply(old.manifest(), (names) -> CompletableFuture.completedFuture(old.shards()))
				.join();
			assertThat(applied, is(false));
			assertThat(state.revision(), is(2L));
		}

	}

}
