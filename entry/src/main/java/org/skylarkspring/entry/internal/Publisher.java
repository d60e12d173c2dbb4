package org.skylarkspring.entry.internal;

import java.util.UUID;
import java.util.concurrent.CompletableFuture;

import org.skylarkspring.core.config.Configuration;
import org.skylarkspring.core.model.Verdict;
import org.skylarkspring.entry.http.Json;

/**
 * Publishes a configuration by one conditional update. Of two operators who publish at
 * the same time one wins and the other is told so. A lost answer is settled by repeating
 * the same conditional update and comparing the publication's name.
 */
final class Publisher {

	private static final int MAXIMUM_TRIES = 4;

	private final ControlState state;

	private final ObjectStore platform;

	Publisher(ControlState state, ObjectStore platform) {
		this.state = state;
		this.platform = platform;
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
				long stored = Json.read(found.json(), Configuration.class).map(Configuration::revision).orElse(0L);
				return writeNext(content, expectedRevision, stored, found.version());
			}
			if (result instanceof PlatformResult.Absent) {
				return writeNext(content, expectedRevision, 0, 0);
			}
			return CompletableFuture.completedFuture(new PublishResult(0, Verdict.NOT_RUN, "the store is unavailable"));
		});
	}

	private CompletableFuture<PublishResult> writeNext(Configuration content, long expectedRevision,
			long storedRevision, long version) {
		long current = Math.max(storedRevision, this.state.revision());
		if (expectedRevision >= 0 && expectedRevision != current) {
			return CompletableFuture.completedFuture(new PublishResult(current, Verdict.NOT_RUN,
					"revision " + current + " is in force, not " + expectedRevision));
		}
		return write(content.as(current + 1, UUID.randomUUID().toString()), version, 1);
	}

	private CompletableFuture<PublishResult> write(Configuration next, long version, int tries) {
		return this.platform.write(PlatformSync.CONFIGURATION, version, Json.write(next)).thenCompose((result) -> {
			if (result instanceof PlatformResult.Written) {
				return CompletableFuture.completedFuture(accepted(next));
			}
			if (result instanceof PlatformResult.Found found) {
				return CompletableFuture.completedFuture(settle(next, found));
			}
			boolean unknown = result instanceof PlatformResult.Lost;
			if (unknown && tries < MAXIMUM_TRIES) {
				return write(next, version, tries + 1);
			}
			boolean notRun = !unknown && tries == 1;
			return CompletableFuture
				.completedFuture(new PublishResult(next.revision(), notRun ? Verdict.NOT_RUN : Verdict.MAY_HAVE_RUN,
						notRun ? "the store is unavailable" : "no answer from the store; see status"));
		});
	}

	private PublishResult settle(Configuration next, PlatformResult.Found found) {
		Configuration stored = Json.read(found.json(), Configuration.class).orElseThrow();
		if (stored.publishId().equals(next.publishId())) {
			return accepted(next);
		}
		return new PublishResult(stored.revision(), Verdict.NOT_RUN,
				"another publication won with revision " + stored.revision());
	}

	private PublishResult accepted(Configuration next) {
		this.state.offer(next);
		return new PublishResult(next.revision(), Verdict.RAN, "revision " + next.revision() + " accepted");
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
