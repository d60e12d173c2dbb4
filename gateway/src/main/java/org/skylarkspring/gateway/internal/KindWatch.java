package org.skylarkspring.gateway.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;

import org.skylarkspring.gateway.model.ObjectChange;
import org.skylarkspring.gateway.model.ObjectKind;
import org.skylarkspring.gateway.model.StoreResult;
import org.skylarkspring.gateway.model.StoredObject;
import org.skylarkspring.gateway.port.ObjectStore;

/**
 * Follows the objects of one kind: lists them, then waits for changes, and lists them
 * again whenever changes may have been missed.
 */
final class KindWatch {

	/** Time in which changes are gathered before the next watch. */
	private static final long GATHER_MILLIS = 30;

	/** Pause after a failed call, long enough not to press a store that refuses. */
	private static final long RETRY_MILLIS = 300;

	/**
	 * Silence after which entries may have lapsed because their writers could not reach
	 * the store either.
	 */
	private static final long OUTAGE_MILLIS = 700;

	private final ObjectStore store;

	private final TimeSource time;

	private final DecisionLog log;

	private final ObjectKind kind;

	private final long waitMillis;

	private final Listener listener;

	private long failingSinceMillis = -1;

	private long revision;

	KindWatch(ObjectStore store, TimeSource time, DecisionLog log, ObjectKind kind, long waitMillis,
			Listener listener) {
		this.store = store;
		this.time = time;
		this.log = log;
		this.kind = kind;
		this.waitMillis = waitMillis;
		this.listener = listener;
	}

	/** Starts to follow; goes on as long as the process runs. */
	void start() {
		list("", new ArrayList<>(), -1);
	}

	private void list(String after, List<StoredObject> collected, long firstRevision) {
		this.store.list(this.kind, after, (result) -> {
			if (result instanceof StoreResult.Listed page) {
				collected.addAll(page.objects());
				long from = (firstRevision < 0) ? page.revision() : firstRevision;
				if (page.more() && !page.objects().isEmpty()) {
					list(page.objects().get(page.objects().size() - 1).name(), collected, from);
				}
				else {
					listed(collected, from);
				}
			}
			else {
				failed(result);
			}
		});
	}

	private void listed(List<StoredObject> all, long from) {
		boolean outage = this.failingSinceMillis >= 0
				&& this.time.nowMillis() - this.failingSinceMillis >= OUTAGE_MILLIS;
		if (this.failingSinceMillis >= 0) {
			this.log.change("store regained",
					Map.of("kind", this.kind, "silent-millis", this.time.nowMillis() - this.failingSinceMillis));
		}
		this.failingSinceMillis = -1;
		this.revision = from;
		this.listener.listed(List.copyOf(all), outage);
		watch();
	}

	private void watch() {
		this.store.watch(this.kind, this.revision, this.waitMillis, (result) -> {
			if (result instanceof StoreResult.Changed changed) {
				this.revision = Math.max(this.revision, changed.revision());
				changed.changes().forEach(this.listener::changed);
				watchAgain(changed);
			}
			else if (result instanceof StoreResult.HistoryGone) {
				this.log.change("history of changes gone, listing again",
						Map.of("kind", this.kind, "revision", this.revision));
				start();
			}
			else {
				failed(result);
			}
		});
	}

	// Each watch is a call that the platform counts; changes often come several at once.
	private void watchAgain(StoreResult.Changed last) {
		if (last.changes().isEmpty()) {
			watch();
		}
		else {
			this.time.after(GATHER_MILLIS, this::watch);
		}
	}

	private void failed(StoreResult result) {
		if (this.failingSinceMillis < 0) {
			this.failingSinceMillis = this.time.nowMillis();
			this.log.change("store lost", Map.of("kind", this.kind, "result", String.valueOf(result)));
			this.listener.lost();
			// A watch may have been cut alone; the list tells at once what was missed.
			start();
			return;
		}
		this.time.after(RETRY_MILLIS, this::start);
	}

	/**
	 * Receives what is read.
	 */
	interface Listener {

		/**
		 * All objects were read.
		 * @param all the objects
		 * @param afterOutage whether entries may be missing only because the store was
		 * away
		 */
		void listed(List<StoredObject> all, boolean afterOutage);

		/**
		 * An object has changed.
		 * @param change the change
		 */
		void changed(ObjectChange change);

		/** The objects can't be followed for now; a list comes once they can. */
		default void lost() {
		}

	}

}
