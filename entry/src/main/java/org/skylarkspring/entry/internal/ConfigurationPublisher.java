package org.skylarkspring.entry.internal;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.UUID;
import java.util.concurrent.CompletableFuture;

import org.skylarkspring.core.config.Configuration;
import org.skylarkspring.core.model.Verdict;
import org.skylarkspring.entry.http.Json;

/**
 * Publishes a configuration by a conditional update of its manifest. If two operators
 * publish concurrently, one succeeds and the other gets the verdict
 * {@link Verdict#NOT_RUN}. If the response is lost, the same conditional update is
 * repeated, and the identifier of the publication shows whether an earlier attempt took
 * effect.
 */
final class ConfigurationPublisher {

	private static final int MAXIMUM_COMMIT_ATTEMPTS = 4;

	private final ControlState controlState;

	private final ObjectStore objectStore;

	private final ConfigurationWriter configurationWriter;

	ConfigurationPublisher(ControlState controlState, ObjectStore objectStore) {
		this.controlState = controlState;
		this.objectStore = objectStore;
		this.configurationWriter = new ConfigurationWriter(objectStore);
	}

	/**
	 * Publishes a configuration.
	 * @param content the configuration to publish; its revision is ignored
	 * @param expectedRevision revision on which the content is based; the publication is
	 * rejected if another one is current; -1 to skip the check
	 * @return the result; never completes exceptionally
	 */
	CompletableFuture<PublishResult> publish(Configuration content, long expectedRevision) {
		return this.objectStore.read(PlatformSync.CONFIGURATION_KEY).thenCompose((result) -> {
			if (result instanceof ObjectStoreResult.Found found) {
				return writeNextRevision(content, expectedRevision, parseManifest(found), found.version());
			}
			if (result instanceof ObjectStoreResult.NotFound) {
				return writeNextRevision(content, expectedRevision, Optional.empty(), 0);
			}
			return completedResult(0, Verdict.NOT_RUN, "the store is unavailable; nothing was published");
		});
	}

	private CompletableFuture<PublishResult> writeNextRevision(Configuration content, long expectedRevision,
			Optional<ConfigurationManifest> stored, long version) {
		long current = Math.max(stored.map(ConfigurationManifest::revision).orElse(0L), this.controlState.revision());
		if (expectedRevision >= 0 && expectedRevision != current) {
			return completedResult(current, Verdict.NOT_RUN,
					"current revision is " + current + ", expected " + expectedRevision);
		}
		ShardedConfiguration next = ShardedConfiguration
			.split(content.withRevision(current + 1, UUID.randomUUID().toString()));
		List<String> storedShards = stored.map(ConfigurationManifest::shards).orElse(List.of());
		return this.configurationWriter.writeShards(next, new HashSet<>(storedShards))
			.thenCompose((shardsStored) -> shardsStored ? commitManifest(next, version, 1)
					: completedResult(current, Verdict.NOT_RUN, "the store is unavailable; nothing was published"));
	}

	private CompletableFuture<PublishResult> commitManifest(ShardedConfiguration next, long version, int attempt) {
		long revision = next.manifest().revision();
		return this.configurationWriter.writeManifest(next, version).thenCompose((result) -> {
			if (result instanceof ObjectStoreResult.Written) {
				return applyPublished(next);
			}
			if (result instanceof ObjectStoreResult.Found found) {
				return resolveConflict(next, found);
			}
			boolean outcomeUnknown = result instanceof ObjectStoreResult.ResponseLost;
			if (outcomeUnknown && attempt < MAXIMUM_COMMIT_ATTEMPTS) {
				return commitManifest(next, version, attempt + 1);
			}
			boolean notRun = !outcomeUnknown && attempt == 1;
			return notRun
					? completedResult(revision, Verdict.NOT_RUN, "the store is unavailable; nothing was published")
					: completedResult(revision, Verdict.MAY_HAVE_RUN,
							"no response from the store; check the current revision with the status command");
		});
	}

	private CompletableFuture<PublishResult> resolveConflict(ShardedConfiguration next, ObjectStoreResult.Found found) {
		ConfigurationManifest stored = parseManifest(found).orElseThrow();
		if (stored.publishId().equals(next.manifest().publishId())) {
			return applyPublished(next);
		}
		return completedResult(stored.revision(), Verdict.NOT_RUN,
				"a concurrent publication committed revision " + stored.revision());
	}

	private CompletableFuture<PublishResult> applyPublished(ShardedConfiguration next) {
		this.controlState.applyIfNewer(next);
		long revision = next.manifest().revision();
		return completedResult(revision, Verdict.RAN, "revision " + revision + " published");
	}

	private static Optional<ConfigurationManifest> parseManifest(ObjectStoreResult.Found found) {
		return Json.read(found.json(), ConfigurationManifest.class);
	}

	private static CompletableFuture<PublishResult> completedResult(long revision, Verdict verdict, String message) {
		return CompletableFuture.completedFuture(new PublishResult(revision, verdict, message));
	}

	/**
	 * Result of a publication.
	 *
	 * @param revision revision that was written or may have been written, or the
	 * conflicting revision; not meaningful if the store was unavailable
	 * @param verdict whether the publication took effect
	 * @param message description of the result for operators
	 */
	record PublishResult(long revision, Verdict verdict, String message) {
	}

}
