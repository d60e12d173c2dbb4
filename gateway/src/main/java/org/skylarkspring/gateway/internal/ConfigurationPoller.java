package org.skylarkspring.gateway.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import org.skylarkspring.gateway.model.ObjectKind;
import org.skylarkspring.gateway.model.RequestHead;
import org.skylarkspring.gateway.model.RoutingTable;
import org.skylarkspring.gateway.model.StoreResult;
import org.skylarkspring.gateway.model.StoredObject;
import org.skylarkspring.gateway.model.WorkspaceSpec;
import org.skylarkspring.gateway.policy.SuspensionDetector;
import org.skylarkspring.gateway.port.ObjectDecoder;

/**
 * Polls the platform's store for the configuration and tracks when the store last
 * confirmed it. A version older than the active one, which a store that has returned from
 * a copy may have for a moment, is neither applied nor counts as a confirmation.
 */
final class ConfigurationPoller {

	private static final String CONFIGURATION_OBJECT_NAME = "main";

	/** Half of the time within which a new version must be active. */
	private static final long POLL_INTERVAL_MILLIS = 1_000;

	private static final long RETRY_DELAY_MILLIS = 300;

	/** Minimum delay after a poll that took longer than the poll interval. */
	private static final long MINIMUM_POLL_DELAY_MILLIS = 50;

	/**
	 * Less than the time within which a new version must be in force, by the time that a
	 * request may be under way.
	 */
	private static final long RECENT_MILLIS = 1_500;

	/** Many times the store's usual response time of a few milliseconds. */
	private static final long SLOW_RESPONSE_THRESHOLD_MILLIS = 100;

	/**
	 * Covers the time from the freshness check to the arrival of the request at the
	 * server.
	 */
	private static final long AGE_SAFETY_MARGIN_MILLIS = 300;

	private final ObjectReader pollReader;

	private final ObjectReader directReader;

	private final ObjectDecoder decoder;

	private final Scheduler scheduler;

	private final DecisionLog log;

	private final long maximumAgeMillis;

	private final SuspensionDetector suspensionDetector = new SuspensionDetector();

	private final List<Runnable> afterCheckTasks = new ArrayList<>();

	private final List<Runnable> afterPollTasks = new ArrayList<>();

	private StoredObject latestObject;

	private RoutingTable routingTable;

	private long lastConfirmedMillis;

	private boolean confirmed;

	private boolean confirmationFailing;

	private boolean storeSlow;

	private boolean pollInProgress;

	private boolean checkInProgress;

	private int clockEpoch;

	private Scheduler.Timer nextPollTimer;

	/**
	 * Creates a poller without a configuration.
	 * @param pollReader reader for periodic polls, which may read through a relay
	 * @param directReader reader that always queries the store
	 * @param decoder decodes the configuration object
	 * @param scheduler clocks and timers
	 * @param log log for state changes
	 * @param revocationMillis maximum time for which a revoked API key may still be
	 * accepted, in milliseconds
	 */
	ConfigurationPoller(ObjectReader pollReader, ObjectReader directReader, ObjectDecoder decoder, Scheduler scheduler,
			DecisionLog log, long revocationMillis) {
		this.pollReader = pollReader;
		this.directReader = directReader;
		this.decoder = decoder;
		this.scheduler = scheduler;
		this.log = log;
		this.maximumAgeMillis = revocationMillis - AGE_SAFETY_MARGIN_MILLIS;
	}

	void start() {
		poll();
	}

	Optional<RoutingTable> routingTable() {
		return Optional.ofNullable(this.routingTable);
	}

	/**
	 * Returns whether API keys in the routing table may still be accepted.
	 * @return {@code false} if the store has not confirmed the configuration within the
	 * revocation time, less a safety margin
	 */
	boolean isFresh() {
		detectSuspension();
		return this.confirmed && ageMillis() < this.maximumAgeMillis;
	}

	/**
	 * Returns whether the API key of a request may still be accepted.
	 * @param head head of the request
	 * @return {@code false} if the key is missing, unknown or cannot be verified any more
	 */
	boolean hasValidKey(RequestHead head) {
		return isFresh() && head.apiKey().flatMap(this::findWorkspaceByApiKey).isPresent();
	}

	private Optional<WorkspaceSpec> findWorkspaceByApiKey(String apiKey) {
		return routingTable().flatMap((table) -> table.findWorkspaceByApiKey(apiKey));
	}

	/**
	 * Returns whether a version that is not in the routing table yet need not be in force
	 * yet, so that a request may be denied without asking the store.
	 * @return whether the store has confirmed the configuration recently
	 */
	boolean isRecent() {
		detectSuspension();
		return this.confirmed && ageMillis() <= RECENT_MILLIS;
	}

	long ageMillis() {
		return this.confirmed ? this.scheduler.nowMillis() - this.lastConfirmedMillis : -1;
	}

	/**
	 * Returns the newest configuration object as read from the store, for relaying to
	 * other instances.
	 * @return the object and its age, empty while it is not confirmed
	 */
	Optional<StoreResult.Listed> confirmedObject() {
		detectSuspension();
		return this.confirmed ? Optional
			.of(new StoreResult.Listed(List.of(this.latestObject), this.latestObject.revision(), false, ageMillis()))
				: Optional.empty();
	}

	/**
	 * Reads the configuration directly from the store and then runs the task, even if the
	 * read failed. If such a read is in progress, the task runs after it.
	 * @param task task to run after the read
	 */
	void runAfterStoreCheck(Runnable task) {
		this.afterCheckTasks.add(task);
		startCheckIfIdle();
	}

	private void startCheckIfIdle() {
		if (!this.checkInProgress) {
			this.checkInProgress = true;
			readConfiguration(this.directReader, (result) -> {
				this.checkInProgress = false;
				runAndClear(this.afterCheckTasks);
			});
		}
	}

	/**
	 * Runs the task after the next poll completes, whether or not it succeeded.
	 * @param task task to run after the poll
	 */
	void runAfterNextPoll(Runnable task) {
		this.afterPollTasks.add(task);
	}

	private void detectSuspension() {
		if (this.suspensionDetector.detectClockJump(this.scheduler.nowMillis(), this.scheduler.epochMillis())) {
			this.clockEpoch++;
			this.confirmed = false;
			this.log.logStateChange("clock jump detected, configuration is unconfirmed until read again",
					Map.of("epoch", this.clockEpoch));
			this.pollInProgress = false;
			this.checkInProgress = false;
			pollIfIdle();
			if (!this.afterCheckTasks.isEmpty()) {
				startCheckIfIdle();
			}
		}
	}

	private void poll() {
		detectSuspension();
		pollIfIdle();
	}

	private void pollIfIdle() {
		if (this.pollInProgress) {
			return;
		}
		this.pollInProgress = true;
		long startedMillis = this.scheduler.nowMillis();
		readConfiguration(this.pollReader, (succeeded) -> {
			this.pollInProgress = false;
			runAndClear(this.afterPollTasks);
			if (this.nextPollTimer != null) {
				this.nextPollTimer.cancel();
			}
			this.nextPollTimer = this.scheduler
				.schedule(succeeded ? pollDelayMillis(startedMillis) : RETRY_DELAY_MILLIS, this::poll);
		});
	}

	// A poll through a relay waits there for the relay's next poll. The delay is
	// shortened by that time, so that the interval is no longer than when polling the
	// store directly.
	private long pollDelayMillis(long startedMillis) {
		return Math.max(MINIMUM_POLL_DELAY_MILLIS, POLL_INTERVAL_MILLIS - (this.scheduler.nowMillis() - startedMillis));
	}

	// Ignores results of reads started before a clock jump, because their duration is
	// unknown.
	private void readConfiguration(ObjectReader reader, Consumer<Boolean> callback) {
		int startedEpoch = this.clockEpoch;
		long startedMillis = this.scheduler.nowMillis();
		reader.read(ObjectKind.CONFIGURATION, CONFIGURATION_OBJECT_NAME, (result) -> {
			if (startedEpoch == this.clockEpoch) {
				callback.accept(applyReadResult(result, startedMillis));
			}
		});
	}

	private void runAndClear(List<Runnable> pendingTasks) {
		List<Runnable> tasks = List.copyOf(pendingTasks);
		pendingTasks.clear();
		tasks.forEach(this::runSafely);
	}

	// A task must prevent neither the others nor the next poll.
	private void runSafely(Runnable task) {
		try {
			task.run();
		}
		catch (RuntimeException ex) {
			this.log.logStateChange("task after read of configuration failed", Map.of("error", String.valueOf(ex)));
		}
	}

	private boolean applyReadResult(StoreResult result, long startedMillis) {
		Optional<StoreResult.Listed> listed = Optional.of(result)
			.filter(StoreResult.Listed.class::isInstance)
			.map(StoreResult.Listed.class::cast)
			.filter((found) -> !found.objects().isEmpty());
		boolean succeeded = listed.isPresent()
				&& applyConfiguration(listed.get().objects().get(0), startedMillis - listed.get().ageMillis());
		if (succeeded == this.confirmationFailing) {
			this.confirmationFailing = !succeeded;
			this.log.logStateChange(
					succeeded ? "configuration confirmed again"
							: "configuration could not be confirmed, polling continues",
					Map.of("result", succeeded ? "read" : String.valueOf(result), "age-millis", ageMillis()));
		}
		// The duration of a call that waited at a relay says nothing about the store's
		// latency.
		if (listed.isEmpty() || listed.get().ageMillis() == 0) {
			trackStoreLatency(this.scheduler.nowMillis() - startedMillis);
		}
		return succeeded;
	}

	private void trackStoreLatency(long responseMillis) {
		boolean slow = responseMillis > SLOW_RESPONSE_THRESHOLD_MILLIS;
		if (slow != this.storeSlow) {
			this.storeSlow = slow;
			this.log.logStateChange(slow ? "store responds slowly" : "store response time is back to normal",
					Map.of("answer-millis", responseMillis));
		}
	}

	private boolean isLatest(StoredObject object) {
		return this.latestObject != null && this.latestObject.revision().equals(object.revision());
	}

	private boolean applyConfiguration(StoredObject object, long confirmedAtMillis) {
		Optional<RoutingTable> decoded = isLatest(object) ? Optional.of(this.routingTable) : decode(object);
		if (decoded.isEmpty()) {
			return false;
		}
		if (this.routingTable == null || decoded.get().version() > this.routingTable.version()) {
			this.routingTable = decoded.get();
			this.log.logStateChange("configuration applied", Map.of("version", this.routingTable.version()));
		}
		boolean current = decoded.get().version() == this.routingTable.version();
		if (current) {
			this.latestObject = object;
			this.lastConfirmedMillis = this.confirmed ? Math.max(this.lastConfirmedMillis, confirmedAtMillis)
					: confirmedAtMillis;
			this.confirmed = true;
		}
		return current;
	}

	// An exception would end the polls.
	private Optional<RoutingTable> decode(StoredObject object) {
		try {
			return this.decoder.decodeRoutingTable(object);
		}
		catch (RuntimeException ex) {
			if (!this.confirmationFailing) {
				this.log.logStateChange("configuration could not be decoded",
						Map.of("revision", object.revision(), "error", String.valueOf(ex)));
			}
			return Optional.empty();
		}
	}

	/**
	 * Reads objects of the platform's store, directly or through a relay.
	 */
	@FunctionalInterface
	interface ObjectReader {

		/**
		 * Reads an object.
		 * @param kind kind of the object
		 * @param name name of the object
		 * @param result receives {@code Listed} with one object, {@code Missing} or
		 * {@code Failed}
		 */
		void read(ObjectKind kind, String name, Consumer<StoreResult> result);

	}

}
