package org.skylarkspring.entry.internal;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * An object store in memory that loses answers or is out on demand.
 */
final class FakeStore implements ObjectStore {

	private final Map<String, PlatformResult.Found> objects = new HashMap<>();

	private long lastVersion;

	private int answersToLose;

	private boolean out;

	private Runnable beforeNextWrite = () -> {
	};

	void loseAnswers(int count) {
		this.answersToLose = count;
	}

	void out(boolean newOut) {
		this.out = newOut;
	}

	/**
	 * Runs a task between the next read and write.
	 * @param task the task
	 */
	void beforeNextWrite(Runnable task) {
		this.beforeNextWrite = task;
	}

	synchronized void put(String key, String json) {
		this.lastVersion++;
		this.objects.put(key, new PlatformResult.Found(this.lastVersion, json));
	}

	synchronized String json(String key) {
		return this.objects.get(key).json();
	}

	@Override
	public synchronized CompletableFuture<PlatformResult> read(String key) {
		return done(this.out ? new PlatformResult.Unavailable() : current(key));
	}

	@Override
	public CompletableFuture<PlatformResult> watch(String key, long knownVersion, long waitMillis) {
		return read(key);
	}

	@Override
	public synchronized CompletableFuture<PlatformResult> write(String key, long expectedVersion, String value) {
		Runnable interleaved = this.beforeNextWrite;
		this.beforeNextWrite = () -> {
		};
		interleaved.run();
		if (this.out) {
			return done(new PlatformResult.Unavailable());
		}
		PlatformResult result = apply(key, expectedVersion, value);
		if (this.answersToLose > 0) {
			this.answersToLose--;
			return done(new PlatformResult.Lost());
		}
		return done(result);
	}

	private PlatformResult apply(String key, long expectedVersion, String value) {
		PlatformResult.Found found = this.objects.get(key);
		long version = (found != null) ? found.version() : 0;
		if (version != expectedVersion) {
			return current(key);
		}
		put(key, value);
		return new PlatformResult.Written(this.lastVersion);
	}

	private PlatformResult current(String key) {
		PlatformResult.Found found = this.objects.get(key);
		return (found != null) ? found : new PlatformResult.Absent();
	}

	private static CompletableFuture<PlatformResult> done(PlatformResult result) {
		return CompletableFuture.completedFuture(result);
	}

}
