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
final class Publisher {

	private static final int MAXIMUM_TRIES = 4;

	private final ControlState state;

	private final ObjectStore platform;

	private final ConfigurationWriter writer;

	Publisher(ControlState state, ObjectStore platform) {
		this.state = state;
		this.platform = platform;
		this.writer = new ConfigurationWriter(platform);
	}

	/**
	 * Publishes a configuration.
	 * @param content the new content
	 * @param expectedRevision revision the content was made from, -1 for any
	 * @return the result; never fails
	 */
	CompletableFuture<PublishResult> publish(Configuration content, long expectedRevision) {
		return this.platform.read(PlatformSync.CONFIGURATION).thenCompose((result) -> {
			if (result instanceof PlatformResult.Found found) {
				return writeNext(content, expectedRevision, manifest(found), found.version());
			}
			if (result instanceof PlatformResult.Absent) {
				return writeNext(content, expectedRevision, Optional.empty(), 0);
			}
			return done(0, Verdict.NOT_RUN, "the store is unavailable");
		});
	}

	private CompletableFuture<PublishResult> writeNext(Configuration content, long expectedRevision,
			Optional<ConfigurationManifest> stored, long version) {
		long current = Math.max(stored.map(ConfigurationManifest::revision).orElse(0L), this.state.revision());
		if (expectedRevision >= 0 && expectedRevision != current) {
			return done(current, Verdict.NOT_RUN, "revision " + current + " is in force, not " + expectedRevision);
		}
		ShardedConfiguration next = ShardedConfiguration
			.split(content.withRevision(current + 1, UUID.randomUUID().toString()));
		List<String> storedShards = stored.map(ConfigurationManifest::shards).orElse(List.of());
		return this.writer.writeShards(next, new HashSet<>(storedShards))
			.thenCompose((sound) -> sound ? commit(next, version, 1)
					: done(current, Verdict.NOT_RUN, "the store is unavailable"));
	}

	private CompletableFuture<PublishResult> commit(ShardedConfiguration next, long version, int tries) {
		long revision = next.manifest().revision();
		return this.writer.writeManifest(next, version).thenCompose((result) -> {
			if (result instanceof PlatformResult.Written) {
				return accepted(next);
			}
			if (result instanceof PlatformResult.Found found) {
				return settle(next, found);
			}
			boolean unknown = result instanceof PlatformResult.Lost;
			if (unknown && tries < MAXIMUM_TRIES) {
				return commit(next, version, tries + 1);
			}
			boolean notRun = !unknown && tries == 1;
			return notRun ? done(revision, Verdict.NOT_RUN, "the store is unavailable")
					: done(revision, Verdict.MAY_HAVE_RUN, "no answer from the store; see status");
		});
	}

	private CompletableFuture<PublishResult> settle(ShardedConfiguration next, PlatformResult.Found found) {
		ConfigurationManifest stored = manifest(found).orElseThrow();
		if (stored.publishId().equals(next.manifest().publishId())) {
			return accepted(next);
		}
		return done(stored.revision(), Verdict.NOT_RUN, "another publication won with revision " + stored.revision());
	}

	private CompletableFuture<PublishResult> accepted(ShardedConfiguration next) {
		this.state.offer(next);
		long revision = next.manifest().revision();
		return done(revision, Verdict.RAN, "revision " + revision + " accepted");
	}

	private static Optional<ConfigurationManifest> manifest(PlatformResult.Found found) {
		return Json.read(found.json(), ConfigurationManifest.class);
	}

	private static CompletableFuture<PublishResult> done(long revision, Verdict verdict, String message) {
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
