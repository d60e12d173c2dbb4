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
 * Tests of {@link ShardedConfiguration}, {@link ConfigurationFetcher} and the comparison
 * of configuration revisions in {@link ControlState}.
 */
class ShardedConfigurationTests {

	private static final int WORKSPACE_COUNT = 2_600;

	private static Configuration createConfiguration(long revision, int changedWeight) {
		List<WorkspaceConfiguration> workspaces = IntStream.range(0, WORKSPACE_COUNT)
			.mapToObj((index) -> new WorkspaceConfiguration("workspace-" + index, String.format("%064x", index),
					(index == 7) ? changedWeight : 1, WorkClass.DEADLINE, List.of("model-1", "model-2")))
			.toList();
		return new Configuration(revision, "p" + revision, List.of(), List.of(), workspaces, List.of());
	}

	private static ControlState createControlState() {
		return new ControlState((event) -> {
		}, new ServiceDirectory());
	}

	@Nested
	class Assembly {

		@Test
		void restoresConfigurationFromItsShards() {
			ShardedConfiguration sharded = ShardedConfiguration.split(createConfiguration(3, 1));
			ShardedConfiguration assembled = ShardedConfiguration.assemble(sharded.manifest(), sharded.shards())
				.orElseThrow();
			assertThat(assembled.configuration().workspaces().containsAll(sharded.configuration().workspaces()),
					is(true));
			assertThat(assembled.configuration().revision(), is(3L));
		}

		@Test
		void rejectsShardWhoseContentDoesNotMatchItsName() {
			ShardedConfiguration sharded = ShardedConfiguration.split(createConfiguration(3, 1));
			Map<String, String> corruptedShards = new HashMap<>(sharded.shards());
			String name = sharded.manifest().shards().get(5);
			corruptedShards.put(name, corruptedShards.get(name).replace("\"weight\":1", "\"weight\":2"));
			assertThat(ShardedConfiguration.assemble(sharded.manifest(), corruptedShards).isPresent(), is(false));
		}

	}

	@Nested
	class ApplyIfNewer {

		@Test
		void ignoresConfigurationOfLowerOrEqualRevision() {
			ControlState state = createControlState();
			assertThat(state.applyIfNewer(ShardedConfiguration.split(createConfiguration(2, 1))), is(true));
			assertThat(state.applyIfNewer(ShardedConfiguration.split(createConfiguration(1, 5))), is(false));
			assertThat(state.applyIfNewer(ShardedConfiguration.split(createConfiguration(2, 5))), is(false));
			assertThat(state.revision(), is(2L));
		}

	}

	@Nested
	class Fetching {

		@Test
		void fetchesOnlyChangedShards() {
			ControlState state = createControlState();
			state.applyIfNewer(ShardedConfiguration.split(createConfiguration(1, 1)));
			ShardedConfiguration newerConfiguration = ShardedConfiguration.split(createConfiguration(2, 5));
			List<String> requestedShards = new ArrayList<>();
			boolean applied = new ConfigurationFetcher(state)
				.fetchAndApplyIfNewer(newerConfiguration.manifest(), (names) -> {
					requestedShards.addAll(names);
					return CompletableFuture.completedFuture(newerConfiguration.shards());
				})
				.join();
			assertThat(applied, is(true));
			assertThat(requestedShards, hasSize(1));
			assertThat(newerConfiguration.shards().get(requestedShards.get(0)).length(), lessThan(16_000));
			assertThat(state.revision(), is(2L));
		}

		@Test
		void ignoresManifestOfLowerRevision() {
			ControlState state = createControlState();
			state.applyIfNewer(ShardedConfiguration.split(createConfiguration(2, 1)));
			ShardedConfiguration olderConfiguration = ShardedConfiguration.split(createConfiguration(1, 5));
			boolean applied = new ConfigurationFetcher(state)
				.fetchAndApplyIfNewer(olderConfiguration.manifest(),
						(names) -> CompletableFuture.completedFuture(olderConfiguration.shards()))
				.join();
			assertThat(applied, is(false));
			assertThat(state.revision(), is(2L));
		}

	}

}
