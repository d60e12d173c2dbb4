package org.skylarkspring.gateway.internal;

import java.util.ArrayDeque;
import java.util.ArrayList;
import java.util.Deque;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Collectors;

import org.skylarkspring.gateway.model.ObjectChange;
import org.skylarkspring.gateway.model.StoreResult;
import org.skylarkspring.gateway.model.StoreRevision;
import org.skylarkspring.gateway.model.StoredObject;

/**
 * Cache of the store's objects of one kind and of their latest changes, from which a
 * relay answers the list and watch requests of other instances. Revisions count the
 * updates that this instance has received and differ from the store's revisions; their
 * era is that of the store.
 */
final class WatchCache {

	/**
	 * Changes within this window are delivered together, because several servers often
	 * terminate at once.
	 */
	private static final long BATCH_WINDOW_MILLIS = 30;

	/** Watchers that have missed more changes must list again. */
	private static final int MAXIMUM_RETAINED_CHANGES = 512;

	/**
	 * Time for which the cache stays valid after a call to the store has failed. Usually
	 * only the connection of a watch was cut, and a list that follows at once succeeds.
	 */
	static final long UNREACHABLE_GRACE_MILLIS = 200;

	/** Time for which a list request waits until the store is reachable. */
	static final long LIST_HOLD_MILLIS = 300;

	private final Scheduler scheduler;

	private final Map<String, StoredObject> objects = new LinkedHashMap<>();

	private final Deque<ObjectChange> retainedChanges = new ArrayDeque<>();

	private final List<PendingWatch> pendingWatches = new ArrayList<>();

	private final List<Consumer<StoreResult>> pendingLists = new ArrayList<>();

	/** Timer that ends the grace time, {@code null} while the store is reachable. */
	private Scheduler.Timer graceTimer;

	private long revision;

	/**
	 * When the store confirmed the objects, the lowest value if that is not followed.
	 */
	private long confirmedMillis = Long.MIN_VALUE;

	/** Era of the store in which the objects were listed. */
	private long era;

	private boolean synced;

	private boolean notificationScheduled;

	WatchCache(Scheduler scheduler) {
		this.scheduler = scheduler;
	}

	/**
	 * Returns a listener that updates this cache and then forwards each event.
	 * @param next listener that receives the forwarded events
	 * @return listener to register with the informer
	 */
	ObjectInformer.Listener listenerForwardingTo(ObjectInformer.Listener next) {
		return new ObjectInformer.Listener() {

			@Override
			public void onEra(long listedEra) {
				WatchCache.this.era = listedEra;
				next.onEra(listedEra);
			}

			@Override
			public void onListed(List<StoredObject> all, boolean afterOutage) {
				WatchCache.this.onListed(all, afterOutage);
				next.onListed(all, afterOutage);
			}

			@Override
			public void onChanged(ObjectChange change) {
				WatchCache.this.applyChange(change);
				next.onChanged(change);
			}

			@Override
			public boolean wantsConfirmations() {
				return next.wantsConfirmations();
			}

			@Override
			public void onConfirmed(long atMillis) {
				WatchCache.this.confirmedMillis = atMillis;
				next.onConfirmed(atMillis);
			}

			@Override
			public void onStoreUnreachable() {
				WatchCache.this.startGrace();
				next.onStoreUnreachable();
			}

		};
	}

	private void onListed(List<StoredObject> all, boolean afterOutage) {
		if (this.graceTimer != null) {
			this.graceTimer.cancel();
			this.graceTimer = null;
		}
		// After an outage the others must know that entries may be missing for that
		// reason, which they learn by listing themselves.
		if (this.synced && !afterOutage) {
			applyDifferences(all);
		}
		else {
			replaceAll(all);
		}
		List<Consumer<StoreResult>> lists = List.copyOf(this.pendingLists);
		this.pendingLists.clear();
		lists.forEach((callback) -> callback.accept(listed()));
	}

	private void applyDifferences(List<StoredObject> all) {
		Set<String> names = all.stream().map(StoredObject::name).collect(Collectors.toSet());
		List.copyOf(this.objects.values())
			.stream()
			.filter((object) -> !names.contains(object.name()))
			.forEach((object) -> applyChange(new ObjectChange(object, true)));
		all.stream().filter(this::isNewOrChanged).forEach((object) -> applyChange(new ObjectChange(object, false)));
	}

	private boolean isNewOrChanged(StoredObject object) {
		StoredObject cached = this.objects.get(object.name());
		return cached == null || !cached.content().equals(object.content());
	}

	private void startGrace() {
		if (this.graceTimer == null) {
			this.graceTimer = this.scheduler.schedule(UNREACHABLE_GRACE_MILLIS, this::markUnsynced);
		}
	}

	private void replaceAll(List<StoredObject> all) {
		this.objects.clear();
		all.forEach((object) -> this.objects.put(object.name(), object));
		this.retainedChanges.clear();
		this.revision++;
		this.synced = true;
		completePendingWatches((watch) -> new StoreResult.HistoryGone());
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
				completePendingWatches((watch) -> changesAfter(watch.afterRevision));
			});
		}
	}

	private void markUnsynced() {
		this.synced = false;
		completePendingWatches((watch) -> new StoreResult.Failed("store unreachable"));
	}

	/**
	 * Lists all objects. Waits for a while if the store cannot be reached.
	 * @param result receives {@code Listed}, or {@code Failed} if the store cannot be
	 * reached
	 */
	void list(Consumer<StoreResult> result) {
		if (this.synced) {
			result.accept(listed());
			return;
		}
		this.pendingLists.add(result);
		this.scheduler.schedule(LIST_HOLD_MILLIS, () -> {
			if (this.pendingLists.remove(result)) {
				result.accept(new StoreResult.Failed("store unreachable"));
			}
		});
	}

	private StoreResult listed() {
		return new StoreResult.Listed(List.copyOf(this.objects.values()), storeRevision(), false, ageMillis());
	}

	/**
	 * Waits for changes.
	 * @param afterRevision revision after which changes are returned
	 * @param waitMillis maximum wait in milliseconds
	 * @param result receives {@code Changed}, without changes if the wait timed out,
	 * {@code HistoryGone}, or {@code Failed} if the store cannot be reached
	 */
	void watch(long afterRevision, long waitMillis, Consumer<StoreResult> result) {
		if (!this.synced) {
			result.accept(new StoreResult.Failed("store unreachable"));
		}
		else if (afterRevision != this.revision) {
			result.accept(changesAfter(afterRevision));
		}
		else {
			PendingWatch watch = new PendingWatch(afterRevision, result);
			this.pendingWatches.add(watch);
			this.scheduler.schedule(waitMillis, () -> completeExpiredWatch(watch));
		}
	}

	private void completeExpiredWatch(PendingWatch watch) {
		if (this.pendingWatches.remove(watch)) {
			watch.resultCallback.accept(changesAfter(watch.afterRevision));
		}
	}

	private StoreResult changesAfter(long afterRevision) {
		long missed = this.revision - afterRevision;
		if (missed < 0 || missed > this.retainedChanges.size()) {
			return new StoreResult.HistoryGone();
		}
		return new StoreResult.Changed(
				this.retainedChanges.stream().skip(this.retainedChanges.size() - missed).toList(), storeRevision(),
				ageMillis());
	}

	private long ageMillis() {
		return (this.confirmedMillis == Long.MIN_VALUE) ? 0 : this.scheduler.nowMillis() - this.confirmedMillis;
	}

	private StoreRevision storeRevision() {
		return new StoreRevision(this.era, this.revision);
	}

	private void completePendingWatches(Function<PendingWatch, StoreResult> resultFactory) {
		List<PendingWatch> watches = List.copyOf(this.pendingWatches);
		this.pendingWatches.clear();
		watches.forEach((watch) -> watch.resultCallback.accept(resultFactory.apply(watch)));
	}

	/**
	 * A watch request that waits for changes. Not a record, because requests with equal
	 * values must remain distinct in the list of pending watches.
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
