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
final class ObjectInformer {

	/** Time in which changes are gathered before the next watch. */
	private static final long BATCH_WINDOW_MILLIS = 30;

	/** Pause after a failed call, long enough not to press a store that refuses. */
	private static final long RETRY_DELAY_MILLIS = 300;

	/**
	 * Silence after which entries may have lapsed because their writers could not reach
	 * the store either.
	 */
	private static final long OUTAGE_THRESHOLD_MILLIS = 700;

	private final ObjectStore store;

	private final Scheduler scheduler;

	private final DecisionLog log;

	private final ObjectKind kind;

	private final long watchTimeoutMillis;

	private final Listener listener;

	private long failingSinceMillis = -1;

	private long revision;

	ObjectInformer(ObjectStore store, Scheduler scheduler, DecisionLog log, ObjectKind kind, long watchTimeoutMillis,
			Listener listener) {
		this.store = store;
		this.scheduler = scheduler;
		this.log = log;
		this.kind = kind;
		this.watchTimeoutMillis = watchTimeoutMillis;
		this.listener = listener;
	}

	/** Starts to follow; goes on as long as the process runs. */
	void start() {
		listPage("", new ArrayList<>(), -1);
	}

	private void listPage(String after, List<StoredObject> collected, long firstRevision) {
		this.store.list(this.kind, after, (result) -> {
			if (result instanceof StoreResult.Listed page) {
				collected.addAll(page.objects());
				long from = (firstRevision < 0) ? page.revision() : firstRevision;
				if (page.hasMore() && !page.objects().isEmpty()) {
					listPage(page.objects().get(page.objects().size() - 1).name(), collected, from);
				}
				else {
					completeList(collected, from);
				}
			}
			else {
				handleFailure(result);
			}
		});
	}

	private void completeList(List<StoredObject> all, long from) {
		boolean outage = this.failingSinceMillis >= 0
				&& this.scheduler.nowMillis() - this.failingSinceMillis >= OUTAGE_THRESHOLD_MILLIS;
		if (this.failingSinceMillis >= 0) {
			this.log.logStateChange("store regained",
					Map.of("kind", this.kind, "silent-millis", this.scheduler.nowMillis() - this.failingSinceMillis));
		}
		this.failingSinceMillis = -1;
		this.revision = from;
		this.listener.onListed(List.copyOf(all), outage);
		watch();
	}

	private void watch() {
		this.store.watch(this.kind, this.revision, this.watchTimeoutMillis, (result) -> {
			if (result instanceof StoreResult.Changed changed) {
				this.revision = Math.max(this.revision, changed.revision());
				changed.changes().forEach(this.listener::onChanged);
				continueWatch(changed);
			}
			else if (result instanceof StoreResult.HistoryGone) {
				this.log.logStateChange("history of changes gone, listing again",
						Map.of("kind", this.kind, "revision", this.revision));
				start();
			}
			else {
				handleFailure(result);
			}
		});
	}

	// Each watch is a call that the platform counts; changes often come several at once.
	private void continueWatch(StoreResult.Changed last) {
		if (last.changes().isEmpty()) {
			watch();
		}
		else {
			this.scheduler.schedule(BATCH_WINDOW_MILLIS, this::watch);
		}
	}

	private void handleFailure(StoreResult result) {
		if (this.failingSinceMillis < 0) {
			this.failingSinceMillis = this.scheduler.nowMillis();
			this.log.logStateChange("store lost", Map.of("kind", this.kind, "result", String.valueOf(result)));
			this.listener.onStoreUnreachable();
			// A watch may have been cut alone; the list tells at once what was missed.
			start();
			return;
		}
		this.scheduler.schedule(RETRY_DELAY_MILLIS, this::start);
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
		void onListed(List<StoredObject> all, boolean afterOutage);

		/**
		 * An object has changed.
		 * @param change the change
		 */
		void onChanged(ObjectChange change);

		/** The objects can't be followed for now; a list comes once they can. */
		default void onStoreUnreachable() {
		}

	}

}
