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
final class KindCopy {

	/**
	 * Changes within this time are told together; servers often leave several at once.
	 */
	private static final long GATHER_MILLIS = 30;

	/** Changes kept; whoever missed more lists again. */
	private static final int MAXIMUM_CHANGES = 512;

	private final TimeSource time;

	private final Map<String, StoredObject> objects = new LinkedHashMap<>();

	private final Deque<ObjectChange> changes = new ArrayDeque<>();

	private final List<Watcher> watchers = new ArrayList<>();

	private long revision;

	private boolean current;

	private boolean waking;

	KindCopy(TimeSource time) {
		this.time = time;
	}

	/**
	 * Returns a listener that keeps this copy up to date and tells another one.
	 * @param next the other listener
	 * @return the listener
	 */
	KindWatch.Listener before(KindWatch.Listener next) {
		return new KindWatch.Listener() {

			@Override
			public void listed(List<StoredObject> all, boolean afterOutage) {
				KindCopy.this.listed(all);
				next.listed(all, afterOutage);
			}

			@Override
			public void changed(ObjectChange change) {
				KindCopy.this.changed(change);
				next.changed(change);
			}

			@Override
			public void lost() {
				KindCopy.this.lost();
				next.lost();
			}

		};
	}

	private void listed(List<StoredObject> all) {
		this.objects.clear();
		all.forEach((object) -> this.objects.put(object.name(), object));
		this.changes.clear();
		this.revision++;
		this.current = true;
		wake((watcher) -> new StoreResult.HistoryGone());
	}

	private void changed(ObjectChange change) {
		if (change.deleted()) {
			this.objects.remove(change.object().name());
		}
		else {
			this.objects.put(change.object().name(), change.object());
		}
		this.revision++;
		this.changes.addLast(change);
		if (this.changes.size() > MAXIMUM_CHANGES) {
			this.changes.removeFirst();
		}
		if (!this.waking) {
			this.waking = true;
			this.time.after(GATHER_MILLIS, () -> {
				this.waking = false;
				wake((watcher) -> changesAfter(watcher.revision));
			});
		}
	}

	private void lost() {
		this.current = false;
		wake((watcher) -> new StoreResult.Failed("store lost"));
	}

	/**
	 * Returns all objects.
	 * @return {@code Listed}, or {@code Failed} while the store can't be reached
	 */
	StoreResult list() {
		return this.current ? new StoreResult.Listed(List.copyOf(this.objects.values()), this.revision, false)
				: new StoreResult.Failed("store lost");
	}

	/**
	 * Waits for changes.
	 * @param after revision after which changes count
	 * @param waitMillis longest time to wait
	 * @param result receives the changes
	 */
	void watch(long after, long waitMillis, Consumer<StoreResult> result) {
		if (!this.current) {
			result.accept(new StoreResult.Failed("store lost"));
		}
		else if (after != this.revision) {
			result.accept(changesAfter(after));
		}
		else {
			Watcher watcher = new Watcher(after, result);
			this.watchers.add(watcher);
			this.time.after(waitMillis, () -> expire(watcher));
		}
	}

	private void expire(Watcher watcher) {
		if (this.watchers.remove(watcher)) {
			watcher.result.accept(changesAfter(watcher.revision));
		}
	}

	private StoreResult changesAfter(long after) {
		long missed = this.revision - after;
		if (missed < 0 || missed > this.changes.size()) {
			return new StoreResult.HistoryGone();
		}
		return new StoreResult.Changed(this.changes.stream().skip(this.changes.size() - missed).toList(),
				this.revision);
	}

	private void wake(Function<Watcher, StoreResult> answer) {
		List<Watcher> waiting = List.copyOf(this.watchers);
		this.watchers.clear();
		waiting.forEach((watcher) -> watcher.result.accept(answer.apply(watcher)));
	}

	/**
	 * One who waits for changes. Two who wait for the same are told apart by identity.
	 */
	private static final class Watcher {

		private final long revision;

		private final Consumer<StoreResult> result;

		private Watcher(long revision, Consumer<StoreResult> result) {
			this.revision = revision;
			this.result = result;
		}

	}

}
