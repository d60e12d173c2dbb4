package org.skylarkspring.gateway.internal;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;
import java.util.function.Function;

import org.skylarkspring.gateway.model.ObjectChange;
import org.skylarkspring.gateway.model.StoreResult;
import org.skylarkspring.gateway.model.StoredObject;

/**
 * The objects of one kind as this instance follows them, with the latest changes, for
 * instances that follow them here. Revisions count the changes seen by this instance.
 */
final class WatchCache {

	/**
	 * Changes within this time are told together; servers often leave several at once.
	 */
	private static final long BATCH_WINDOW_MILLIS = 30;

	/** Changes kept; whoever missed more lists again. */
	private static final int MAXIMUM_RETAINED_CHANGES = 512;

	private final Scheduler scheduler;

	private final Map<String, StoredObject> objects = new LinkedHashMap<>();

	private final Deque<ObjectChange> retainedChanges = new ArrayDeque<>();

	private final List<PendingWatch> pendingWatches = new ArrayList<>();

	private long revision;

	private boolean synced;

	private boolean notificationScheduled;

	WatchCache(Scheduler scheduler) {
		this.scheduler = scheduler;
	}

	/**
	 * Returns a listener that keeps this copy up to date and tells another one.
	 * @param next the other listener
	 * @return the listener
	 */
	ObjectInformer.Listener listenerForwardingTo(ObjectInformer.Listener next) {
		return new ObjectInformer.Listener() {

			@Override
			public void onListed(List<StoredObject> all, boolean afterOutage) {
				WatchCache.this.replaceAll(all);
				next.onListed(all, afterOutage);
			}

			@Override
			public void onChanged(ObjectChange change) {
				WatchCache.this.applyChange(change);
				next.onChanged(change);
			}

			@Override
			public void onStoreUnreachable() {
				WatchCache.this.markUnsynced();
				next.onStoreUnreachable();
			}

		};
	}

	private void replaceAll(List<StoredObject> all) {
		this.objects.clear();
		all.forEach((object) -> this.objects.put(object.name(), object));
		this.retainedChanges.clear();
		this.revision++;
		this.synced = true;
		completePendingWatches((watcher) -> new StoreResult.HistoryGone());
	}

	private void applyChange(ObjectChange change) {
		if (change.deleted()) {
			this.objects.remove(change.object().name());
		}
		else {
			this.objects.put(change.object().name(), change.object());
		}
		this.revision++;
		this.retainedChanges.addLast(change);
		if (this.retainedChanges.size() > MAXIMUM_RETAINED_CHANGES) {
			this.retainedChanges.removeFirst();
		}
		if (!this.notificationScheduled) {
			this.notificationScheduled = true;
			this.scheduler.schedule(BATCH_WINDOW_MILLIS, () -> {
				this.notificationScheduled = false;
				completePendingWatches((watcher) -> changesAfter(watcher.afterRevision));
			});
		}
	}

	private void markUnsynced() {
		this.synced = false;
		completePendingWatches((watcher) -> new StoreResult.Failed("store lost"));
	}

	/**
	 * Returns all objects.
	 * @return {@code Listed}, or {@code Failed} while the store can't be reached
	 */
	StoreResult list() {
		return this.synced ? new StoreResult.Listed(List.copyOf(this.objects.values()), this.revision, false)
				: new StoreResult.Failed("store lost");
	}

	/**
	 * Waits for changes.
	 * @param after revision after which changes count
	 * @param waitMillis longest time to wait
	 * @param result receives the changes
	 */
	void watch(long after, long waitMillis, Consumer<StoreResult> result) {
		if (!this.synced) {
			result.accept(new StoreResult.Failed("store lost"));
		}
		else if (after != this.revision) {
			result.accept(changesAfter(after));
		}
		else {
			PendingWatch watcher = new PendingWatch(after, result);
			this.pendingWatches.add(watcher);
			this.scheduler.schedule(waitMillis, () -> completeExpiredWatch(watcher));
		}
	}

	private void completeExpiredWatch(PendingWatch watcher) {
		if (this.pendingWatches.remove(watcher)) {
			watcher.resultCallback.accept(changesAfter(watcher.afterRevision));
		}
	}

	private StoreResult changesAfter(long after) {
		long missed = this.revision - after;
		if (missed < 0 || missed > this.retainedChanges.size()) {
			return new StoreResult.HistoryGone();
		}
		return new StoreResult.Changed(
				this.retainedChanges.stream().skip(this.retainedChanges.size() - missed).toList(), this.revision);
	}

	private void completePendingWatches(Function<PendingWatch, StoreResult> answer) {
		List<PendingWatch> waiting = List.copyOf(this.pendingWatches);
		this.pendingWatches.clear();
		waiting.forEach((watcher) -> watcher.resultCallback.accept(answer.apply(watcher)));
	}

	/**
	 * One who waits for changes. Two who wait for the same are told apart by identity.
	 */
	private static final class PendingWatch {

		private final long afterRevision;

		private final Consumer<StoreResult> resultCallback;

		private PendingWatch(long afterRevision, Consumer<StoreResult> resultCallback) {
			this.afterRevision = afterRevision;
			this.resultCallback = resultCallback;
		}

	}

}
