package org.skylarkspring.gateway.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.function.Consumer;

import org.skylarkspring.gateway.model.ObjectChange;
import org.skylarkspring.gateway.model.ObjectKind;
import org.skylarkspring.gateway.model.StoreResult;
import org.skylarkspring.gateway.model.StoreRevision;
import org.skylarkspring.gateway.model.StoredObject;
import org.skylarkspring.gateway.port.ObjectStore;

/**
 * Keeps a listener up to date on the store's objects of one kind: lists them, then
 * watches for changes, and lists them again whenever changes may have been missed.
 */
final class ObjectInformer {

	/** Delay before the next watch, so that it returns several changes at once. */
	private static final long BATCH_WINDOW_MILLIS = 30;

	/**
	 * Delay after a repeated failure, long enough not to overload a store that rejects
	 * calls.
	 */
	private static final long RETRY_DELAY_MILLIS = 300;

	/**
	 * Length of a store outage after which entries may have expired because their writers
	 * could not reach the store either.
	 */
	private static final long OUTAGE_THRESHOLD_MILLIS = 400;

	private final ObjectStore store;

	private final Scheduler scheduler;

	private final DecisionLog log;

	private final ObjectKind kind;

	private final long watchTimeoutMillis;

	private final Listener listener;

	private long failingSinceMillis = -1;

	private long callStartedMillis;

	private StoreRevision revision = StoreRevision.NONE;

	ObjectInformer(ObjectStore store, Scheduler scheduler, DecisionLog log, ObjectKind kind, long watchTimeoutMillis,
			Listener listener) {
		this.store = store;
		this.scheduler = scheduler;
		this.log = log;
		this.kind = kind;
		this.watchTimeoutMillis = watchTimeoutMillis;
		this.listener = listener;
	}

	/** Starts listing and watching, which continue until the process exits. */
	void start() {
		this.callStartedMillis = this.scheduler.nowMillis();
		listPage("", new ArrayList<>(), StoreRevision.NONE);
	}

	private void listPage(String afterName, List<StoredObject> collected, StoreRevision firstRevision) {
		this.store.list(this.kind, afterName, listingAgainAfterException((result) -> {
			if (result instanceof StoreResult.Listed page) {
				collected.addAll(page.objects());
				boolean firstPage = afterName.isEmpty();
				StoreRevision watchRevision = firstPage ? page.revision() : firstRevision;
				if (page.revision().era() != watchRevision.era()) {
					start();
				}
				else if (page.hasMore() && !page.objects().isEmpty()) {
					listPage(page.objects().get(page.objects().size() - 1).name(), collected, watchRevision);
				}
				else {
					completeList(collected, watchRevision, page.ageMillis());
				}
			}
			else {
				relistAfterFailure(result);
			}
		}));
	}

	private void completeList(List<StoredObject> all, StoreRevision watchRevision, long ageMillis) {
		boolean newEra = !this.revision.equals(StoreRevision.NONE) && watchRevision.era() > this.revision.era();
		boolean afterOutage = newEra || (this.failingSinceMillis >= 0
				&& this.scheduler.nowMillis() - this.failingSinceMillis >= OUTAGE_THRESHOLD_MILLIS);
		if (this.failingSinceMillis >= 0) {
			this.log.logStateChange("store reachable again",
					Map.of("kind", this.kind, "silent-millis", this.scheduler.nowMillis() - this.failingSinceMillis));
		}
		this.failingSinceMillis = -1;
		this.revision = watchRevision;
		if (newEra) {
			this.log.logStateChange("store has returned from an older copy, entries may be missing",
					Map.of("kind", this.kind, "era", watchRevision.era()));
		}
		applySafely(() -> this.listener.onEra(watchRevision.era()));
		applySafely(() -> this.listener.onListed(List.copyOf(all), afterOutage));
		confirm(ageMillis);
		watch();
	}

	// The store had no later objects when the call began, however long its result took.
	private void confirm(long ageMillis) {
		if (this.listener.wantsConfirmations()) {
			this.listener.onConfirmed(this.callStartedMillis - ageMillis);
		}
	}

	private void watch() {
		this.callStartedMillis = this.scheduler.nowMillis();
		this.store.watch(this.kind, this.revision, this.watchTimeoutMillis, listingAgainAfterException((result) -> {
			if (result instanceof StoreResult.Changed changed) {
				this.revision = this.revision.isBefore(changed.revision()) ? changed.revision() : this.revision;
				changed.changes().forEach((change) -> applySafely(() -> this.listener.onChanged(change)));
				confirm(changed.ageMillis());
				continueWatch(changed);
			}
			else if (result instanceof StoreResult.HistoryGone) {
				this.log.logStateChange("change history no longer available, listing again",
						Map.of("kind", this.kind, "revision", this.revision));
				start();
			}
			else {
				relistAfterFailure(result);
			}
		}));
	}

	// Without a further call to the store, its objects would not be followed any more.
	private Consumer<StoreResult> listingAgainAfterException(Consumer<StoreResult> handler) {
		return (result) -> {
			try {
				handler.accept(result);
			}
			catch (RuntimeException ex) {
				this.log.logStateChange("result of the store could not be handled, listing again",
						Map.of("kind", this.kind, "error", String.valueOf(ex)));
				this.scheduler.schedule(RETRY_DELAY_MILLIS, this::start);
			}
		};
	}

	// Objects come from other writers. One that cannot be applied must not end the watch.
	private void applySafely(Runnable application) {
		try {
			application.run();
		}
		catch (RuntimeException ex) {
			this.log.logStateChange("object of the store could not be applied and is ignored",
					Map.of("kind", this.kind, "error", String.valueOf(ex)));
		}
	}

	// Each watch counts as a call to the platform. Changes often occur several at a time,
	// so the next watch is delayed to collect them.
	private void continueWatch(StoreResult.Changed changed) {
		if (changed.changes().isEmpty()) {
			watch();
		}
		else {
			this.scheduler.schedule(BATCH_WINDOW_MILLIS, this::watch);
		}
	}

	private void relistAfterFailure(StoreResult result) {
		if (this.failingSinceMillis < 0) {
			this.failingSinceMillis = this.scheduler.nowMillis();
			this.log.logStateChange("store call failed, listing again",
					Map.of("kind", this.kind, "result", String.valueOf(result)));
			this.listener.onStoreUnreachable();
			// Possibly only the connection of the watch was closed. Listing immediately
			// returns any missed changes.
			start();
			return;
		}
		this.scheduler.schedule(RETRY_DELAY_MILLIS, this::start);
	}

	/**
	 * Receives lists and changes of the objects.
	 */
	interface Listener {

		/**
		 * Called when all objects have been listed.
		 * @param all all objects of the kind
		 * @param afterOutage whether entries may be missing only because they expired
		 * while the store was unreachable, or because it returned from a copy
		 */
		void onListed(List<StoredObject> all, boolean afterOutage);

		/**
		 * Called when an object has been created, updated or deleted.
		 * @param change the object and whether it was deleted
		 */
		void onChanged(ObjectChange change);

		/**
		 * Called before {@link #onListed}.
		 * @param era era of the store in which the objects were listed
		 */
		default void onEra(long era) {
		}

		/**
		 * Returns whether {@link #onConfirmed} is to be called.
		 * @return {@code true} if the age of the objects matters to this listener
		 */
		default boolean wantsConfirmations() {
			return false;
		}

		/**
		 * Called after objects were applied.
		 * @param atMillis time at which the store had no later ones, in milliseconds
		 */
		default void onConfirmed(long atMillis) {
		}

		/**
		 * Called when the store becomes unreachable. {@link #onListed} follows once it is
		 * reachable again.
		 */
		default void onStoreUnreachable() {
		}

	}

}
