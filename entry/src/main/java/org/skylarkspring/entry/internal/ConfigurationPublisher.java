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
 * Publishes a configuration by one conditional update of its manifest. Of two operators
 * who publish at the same time one wins and the other is told so. A lost answer is
 * settled by repeating the same conditional update and comparing the publication's name.
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
	 * @param content the new content
	 * @param expectedRevision revision the content was made from, -1 for any
	 * @return the result; never fails
	 */
	CompletableFuture<PublishResult> publish(Configuration content, long expectedRevision) {
		return this.objectStore.read(PlatformSync.CONFIGURATION_KEY).thenCompose((result) -> {
			if (result instanceof ObjectStoreResult.Found found) {
				return writeNextRevision(content, expectedRevision, parseManifest(found), found.version());
			}
			if (result instanceof ObjectStoreResult.NotFound) {
				return writeNextRevision(content, expectedRevision, Optional.empty(), 0);
			}
			return completedResult(0, Verdict.NOT_RUN, "the store is unavailable");
		});
	}

	private CompletableFuture<PublishResult> writeNextRevision(Configuration content, long expectedRevision,
			Optional<ConfigurationManifest> stored, long version) {
		long current = Math.max(stored.map(ConfigurationManifest::revision).orElse(0L), this.controlState.revision());
		if (expectedRevision >= 0 && expectedRevision != current) {
			return completedResult(current, Verdict.NOT_RUN,
					"revision " + current + " is in force, not " + expectedRevision);
		}
		ShardedConfiguration next = ShardedConfiguration
			.split(content.withRevision(current + 1, UUID.randomUUID().toString()));
		List<String> storedShards = stored.map(ConfigurationManifest::shards).orElse(List.of());
		return this.configurationWriter.writeShards(next, new HashSet<>(storedShards))
			.thenCompose((sound) -> sound ? commitManifest(next, version, 1)
					: completedResult(current, Verdict.NOT_RUN, "the store is unavailable"));
	}

	private CompletableFuture<PublishResult> commitManifest(ShardedConfiguration next, long version, int tries) {
		long revision = next.manifest().revision();
		return this.configurationWriter.writeManifest(next, version).thenCompose((result) -> {
			if (result instanceof ObjectStoreResult.Written) {
				return applyPublished(next);
			}
			if (result instanceof ObjectStoreResult.Found found) {
				return resolveConflict(next, found);
			}
			boolean unknown = result instanceof ObjectStoreResult.ResponseLost;
			if (unknown && tries < MAXIMUM_COMMIT_ATTEMPTS) {
				return commitManifest(next, version, tries + 1);
			}
			boolean notRun = !unknown && tries == 1;
			return notRun ? completedResult(revision, Verdict.NOT_RUN, "the store is unavailable")
					: completedResult(revision, Verdict.MAY_HAVE_RUN, "no answer from the store; see status");
		});
	}

	private CompletableFuture<PublishResult> resolveConflict(ShardedConfiguration next, ObjectStoreResult.Found found) {
		ConfigurationManifest stored = parseManifest(found).orElseThrow();
		if (stored.publishId().equals(next.manifest().publishId())) {
			return applyPublished(next);
		}
		return completedResult(stored.revision(), Verdict.NOT_RUN,
				"another publication won with revision " + stored.revision());
	}

	private CompletableFuture<PublishResult> applyPublished(ShardedConfiguration next) {
		this.controlState.applyIfNewer(next);
		long revision = next.manifest().revision();
		return completedResult(revision, Verdict.RAN, "revision " + revision + " accepted");
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
	 * @param revision revision written, or the one that is in the way
	 * @param verdict whether the publication took effect
	 * @param message result in words
	 */
	record PublishResult(long revision, Verdict verdict, String message) {
	}

}
