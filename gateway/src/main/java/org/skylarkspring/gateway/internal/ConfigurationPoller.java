package org.skylarkspring.gateway.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import org.skylarkspring.gateway.model.ObjectKind;
import org.skylarkspring.gateway.model.RoutingTable;
import org.skylarkspring.gateway.model.StoreResult;
import org.skylarkspring.gateway.model.StoredObject;
import org.skylarkspring.gateway.policy.SuspensionDetector;
import org.skylarkspring.gateway.port.ObjectDecoder;

/**
 * Keeps the newest configuration and the age of its last confirmation by the store. A
 * version lower than the one in force is never taken.
 */
final class ConfigurationPoller {

	private static final String CONFIGURATION_OBJECT_NAME = "main";

	/** Half of the time in which a version must be in force. */
	private static final long POLL_INTERVAL_MILLIS = 1_000;

	private static final long RETRY_DELAY_MILLIS = 300;

	/** Between two polls when the first one waited for long. */
	private static final long MINIMUM_POLL_DELAY_MILLIS = 50;

	/** Many times the store's usual answer of some milliseconds. */
	private static final long SLOW_RESPONSE_THRESHOLD_MILLIS = 100;

	/** Time between reading the age and the arrival of the request at the server. */
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
	 * Creates a feed that has read nothing yet.
	 * @param pollReader reads the configuration in turn, perhaps through another instance
	 * @param directReader reads it from the store itself
	 * @param decoder reads the object
	 * @param scheduler clocks and timers
	 * @param log receives what changes
	 * @param revocationMillis how long a key may be used after it was taken away
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
	 * Returns whether a key that the table holds may still be used.
	 * @return {@code false} if the store has not confirmed the table lately
	 */
	boolean isFresh() {
		detectSuspension();
		return this.confirmed && ageMillis() < this.maximumAgeMillis;
	}

	long ageMillis() {
		return this.confirmed ? this.scheduler.nowMillis() - this.lastConfirmedMillis : -1;
	}

	/**
	 * Returns the newest configuration as the store gave it, for others.
	 * @return the object and its age, empty while it is not confirmed
	 */
	Optional<StoreResult.Listed> confirmedObject() {
		detectSuspension();
		return this.confirmed ? Optional
			.of(new StoreResult.Listed(List.of(this.latestObject), this.latestObject.revision(), false, ageMillis()))
				: Optional.empty();
	}

	/**
	 * Asks the store itself and then runs a task, also if it does not answer.
	 * @param task the task
	 */
	void runAfterStoreCheck(Runnable task) {
		this.afterCheckTasks.add(task);
		if (!this.checkInProgress) {
			this.checkInProgress = true;
			readConfiguration(this.directReader, (result) -> {
				this.checkInProgress = false;
				runAndClear(this.afterCheckTasks);
			});
		}
	}

	/**
	 * Runs a task after the next poll.
	 * @param task the task
	 */
	void runAfterNextPoll(Runnable task) {
		this.afterPollTasks.add(task);
	}

	private void detectSuspension() {
		if (this.suspensionDetector.detectClockJump(this.scheduler.nowMillis(), this.scheduler.epochMillis())) {
			this.clockEpoch++;
			this.confirmed = false;
			this.log.logStateChange("clocks moved apart, configuration is unconfirmed",
					Map.of("epoch", this.clockEpoch));
			this.pollInProgress = false;
			this.checkInProgress = false;
			pollIfIdle();
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
		readConfiguration(this.pollReader, (taken) -> {
			this.pollInProgress = false;
			runAndClear(this.afterPollTasks);
			if (this.nextPollTimer != null) {
				this.nextPollTimer.cancel();
			}
			this.nextPollTimer = this.scheduler.schedule(taken ? pollDelayMillis(startedMillis) : RETRY_DELAY_MILLIS,
					this::poll);
		});
	}

	// A poll through another instance waits there for its next poll; together they take
	// no longer than a poll of the store itself.
	private long pollDelayMillis(long startedMillis) {
		return Math.max(MINIMUM_POLL_DELAY_MILLIS, POLL_INTERVAL_MILLIS - (this.scheduler.nowMillis() - startedMillis));
	}

	// Answers to what was asked before the clocks moved apart are dropped: the time they
	// took is not known.
	private void readConfiguration(ObjectReader reader, Consumer<Boolean> done) {
		int startedEpoch = this.clockEpoch;
		long startedMillis = this.scheduler.nowMillis();
		reader.read(ObjectKind.CONFIGURATION, CONFIGURATION_OBJECT_NAME, (result) -> {
			if (startedEpoch == this.clockEpoch) {
				done.accept(handleResult(result, startedMillis));
			}
		});
	}

	private static void runAndClear(List<Runnable> waiting) {
		List<Runnable> tasks = List.copyOf(waiting);
		waiting.clear();
		tasks.forEach(Runnable::run);
	}

	private boolean handleResult(StoreResult result, long startedMillis) {
		Optional<StoreResult.Listed> listed = Optional.of(result)
			.filter(StoreResult.Listed.class::isInstance)
			.map(StoreResult.Listed.class::cast)
			.filter((found) -> !found.objects().isEmpty());
		boolean taken = listed.isPresent()
				&& applyConfiguration(listed.get().objects().get(0), startedMillis - listed.get().ageMillis());
		if (taken == this.confirmationFailing) {
			this.confirmationFailing = !taken;
			this.log.logStateChange(taken ? "configuration confirmed again" : "configuration not confirmed",
					Map.of("result", taken ? "read" : String.valueOf(result), "age-millis", ageMillis()));
		}
		// A call that waited at another instance tells nothing about the store.
		if (listed.isEmpty() || listed.get().ageMillis() == 0) {
			trackStoreLatency(this.scheduler.nowMillis() - startedMillis);
		}
		return taken;
	}

	private void trackStoreLatency(long answerMillis) {
		boolean nowSlow = answerMillis > SLOW_RESPONSE_THRESHOLD_MILLIS;
		if (nowSlow != this.storeSlow) {
			this.storeSlow = nowSlow;
			this.log.logStateChange(nowSlow ? "store slow" : "store fast again", Map.of("answer-millis", answerMillis));
		}
	}

	private boolean applyConfiguration(StoredObject object, long confirmedAtMillis) {
		Optional<RoutingTable> read = this.decoder.decodeRoutingTable(object);
		if (read.isEmpty()) {
			return false;
		}
		if (this.routingTable == null || read.get().version() > this.routingTable.version()) {
			this.routingTable = read.get();
			this.log.logStateChange("configuration in force", Map.of("version", this.routingTable.version()));
		}
		boolean wasConfirmed = this.confirmed;
		this.confirmed = read.get().version() == this.routingTable.version();
		if (this.confirmed) {
			this.latestObject = object;
			this.lastConfirmedMillis = wasConfirmed ? Math.max(this.lastConfirmedMillis, confirmedAtMillis)
					: confirmedAtMillis;
		}
		return this.confirmed;
	}

	/**
	 * Reads an object.
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
