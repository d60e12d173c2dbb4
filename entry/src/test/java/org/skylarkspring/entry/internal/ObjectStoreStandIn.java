package org.skylarkspring.entry.internal;

import java.util.HashMap;
import java.util.Map;
import java.util.concurrent.CompletableFuture;

/**
 * In-memory object store that can simulate lost write responses and outages.
 */
final class ObjectStoreStandIn implements ObjectStore {

	private final Map<String, ObjectStoreResult.Found> objects = new HashMap<>();

	private long lastVersion;

	private int responsesToLose;

	private boolean unavailable;

	private Runnable beforeNextWrite = () -> {
	};

	void loseResponses(int count) {
		this.responsesToLose = count;
	}

	void setUnavailable(boolean newUnavailable) {
		this.unavailable = newUnavailable;
	}

	/**
	 * Runs a task right before the next write is processed, to simulate a concurrent
	 * update between a read and the write that follows it.
	 * @param task the task to run once
	 */
	void runBeforeNextWrite(Runnable task) {
		this.beforeNextWrite = task;
	}

	synchronized void put(String key, String json) {
		this.lastVersion++;
		this.objects.put(key, new ObjectStoreResult.Found(this.lastVersion, json));
	}

	synchronized String storedJson(String key) {
		return this.objects.get(key).json();
	}

	@Override
	public synchronized CompletableFuture<ObjectStoreResult> read(String key) {
		return completedResult(this.unavailable ? new ObjectStoreResult.Unavailable() : findObject(key));
	}

	@Override
	public CompletableFuture<ObjectStoreResult> watch(String key, long knownVersion, long waitMillis) {
		return read(key);
	}

	@Override
	public synchronized CompletableFuture<ObjectStoreResult> write(String key, long expectedVersion, String value) {
		Runnable concurrentUpdate = this.beforeNextWrite;
		this.beforeNextWrite = () -> {
		};
		concurrentUpdate.run();
		if (this.unavailable) {
			return completedResult(new ObjectStoreResult.Unavailable());
		}
		ObjectStoreResult result = writeIfVersionMatches(key, expectedVersion, value);
		if (this.responsesToLose > 0) {
			this.responsesToLose--;
			return completedResult(new ObjectStoreResult.ResponseLost());
		}
		return completedResult(result);
	}

	private ObjectStoreResult writeIfVersionMatches(String key, long expectedVersion, String value) {
		ObjectStoreResult.Found found = this.objects.get(key);
		long version = (found != null) ? found.version() : 0;
		if (version != expectedVersion) {
			return findObject(key);
		}
		put(key, value);
		return new ObjectStoreResult.Written(this.lastVersion);
	}

	private ObjectStoreResult findObject(String key) {
		ObjectStoreResult.Found found = this.objects.get(key);
		return (found != null) ? found : new ObjectStoreResult.NotFound();
	}

	private static CompletableFuture<ObjectStoreResult> completedResult(ObjectStoreResult result) {
		return CompletableFuture.completedFuture(result);
	}

}
