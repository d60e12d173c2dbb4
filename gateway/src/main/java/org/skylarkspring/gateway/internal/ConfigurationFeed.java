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
final class ConfigurationFeed {

	private static final String NAME = "main";

	/** Half of the time in which a version must be in force. */
	private static final long POLL_MILLIS = 1_000;

	private static final long RETRY_MILLIS = 300;

	/** Between two polls when the first one waited for long. */
	private static final long SHORTEST_PAUSE_MILLIS = 50;

	/** Many times the store's usual answer of some milliseconds. */
	private static final long SLOW_ANSWER_MILLIS = 100;

	/** Time between reading the age and the arrival of the request at the server. */
	private static final long AGE_MARGIN_MILLIS = 300;

	private final ObjectReader polls;

	private final ObjectReader checks;

	private final ObjectDecoder decoder;

	private final TimeSource time;

	private final DecisionLog log;

	private final long maximumAgeMillis;

	private final SuspensionDetector suspensions = new SuspensionDetector();

	private final List<Runnable> checkWaiters = new ArrayList<>();

	private final List<Runnable> pollWaiters = new ArrayList<>();

	private StoredObject newest;

	private RoutingTable table;

	private long confirmedMillis;

	private boolean confirmed;

	private boolean failing;

	private boolean slow;

	private boolean polling;

	private boolean checking;

	private int epoch;

	private TimeSource.Timer nextPoll;

	/**
	 * Creates a feed that has read nothing yet.
	 * @param polls reads the configuration in turn, perhaps through another instance
	 * @param checks reads it from the store itself
	 * @param decoder reads the object
	 * @param time clocks and timers
	 * @param log receives what changes
	 * @param revocationMillis how long a key may be used after it was taken away
	 */
	ConfigurationFeed(ObjectReader polls, ObjectReader checks, ObjectDecoder decoder, TimeSource time, DecisionLog log,
			long revocationMillis) {
		this.polls = polls;
		this.checks = checks;
		this.decoder = decoder;
		this.time = time;
		this.log = log;
		this.maximumAgeMillis = revocationMillis - AGE_MARGIN_MILLIS;
	}

	void start() {
		poll();
	}

	Optional<RoutingTable> table() {
		return Optional.ofNullable(this.table);
	}

	/**
	 * Returns whether a key that the table holds may still be used.
	 * @return {@code false} if the store has not confirmed the table lately
	 */
	boolean fresh() {
		checkClocks();
		return this.confirmed && ageMillis() < this.maximumAgeMillis;
	}

	long ageMillis() {
		return this.confirmed ? this.time.nowMillis() - this.confirmedMillis : -1;
	}

	/**
	 * Returns the newest configuration as the store gave it, for others.
	 * @return the object and its age, empty while it is not confirmed
	 */
	Optional<StoreResult.Listed> confirmedObject() {
		checkClocks();
		return this.confirmed
				? Optional.of(new StoreResult.Listed(List.of(this.newest), this.newest.revision(), false, ageMillis()))
				: Optional.empty();
	}

	/**
	 * Asks the store itself and then runs a task, also if it does not answer.
	 * @param task the task
	 */
	void afterNextCheck(Runnable task) {
		this.checkWaiters.add(task);
		if (!this.checking) {
			this.checking = true;
			read(this.checks, (result) -> {
				this.checking = false;
				run(this.checkWaiters);
			});
		}
	}

	/**
	 * Runs a task after the next poll.
	 * @param task the task
	 */
	void afterNextPoll(Runnable task) {
		this.pollWaiters.add(task);
	}

	private void checkClocks() {
		if (this.suspensions.observe(this.time.nowMillis(), this.time.epochMillis())) {
			this.epoch++;
			this.confirmed = false;
			this.log.change("clocks moved apart, configuration is unconfirmed", Map.of("epoch", this.epoch));
			this.polling = false;
			this.checking = false;
			pollOnce();
		}
	}

	private void poll() {
		checkClocks();
		pollOnce();
	}

	private void pollOnce() {
		if (this.polling) {
			return;
		}
		this.polling = true;
		long startedMillis = this.time.nowMillis();
		read(this.polls, (taken) -> {
			this.polling = false;
			run(this.pollWaiters);
			if (this.nextPoll != null) {
				this.nextPoll.remove();
			}
			this.nextPoll = this.time.after(taken ? pauseMillis(startedMillis) : RETRY_MILLIS, this::poll);
		});
	}

	// A poll through another instance waits there for its next poll; together they take
	// no longer than a poll of the store itself.
	private long pauseMillis(long startedMillis) {
		return Math.max(SHORTEST_PAUSE_MILLIS, POLL_MILLIS - (this.time.nowMillis() - startedMillis));
	}

	// Answers to what was asked before the clocks moved apart are dropped: the time they
	// took is not known.
	private void read(ObjectReader reader, Consumer<Boolean> done) {
		int startedEpoch = this.epoch;
		long startedMillis = this.time.nowMillis();
		reader.read(ObjectKind.CONFIGURATION, NAME, (result) -> {
			if (startedEpoch == this.epoch) {
				done.accept(answered(result, startedMillis));
			}
		});
	}

	private static void run(List<Runnable> waiting) {
		List<Runnable> tasks = List.copyOf(waiting);
		waiting.clear();
		tasks.forEach(Runnable::run);
	}

	private boolean answered(StoreResult result, long startedMillis) {
		Optional<StoreResult.Listed> listed = Optional.of(result)
			.filter(StoreResult.Listed.class::isInstance)
			.map(StoreResult.Listed.class::cast)
			.filter((found) -> !found.objects().isEmpty());
		boolean taken = listed.isPresent()
				&& take(listed.get().objects().get(0), startedMillis - listed.get().ageMillis());
		if (taken == this.failing) {
			this.failing = !taken;
			this.log.change(taken ? "configuration confirmed again" : "configuration not confirmed",
					Map.of("result", taken ? "read" : String.valueOf(result), "age-millis", ageMillis()));
		}
		// A call that waited at another instance tells nothing about the store.
		if (listed.isEmpty() || listed.get().ageMillis() == 0) {
			noteSpeed(this.time.nowMillis() - startedMillis);
		}
		return taken;
	}

	private void noteSpeed(long answerMillis) {
		boolean nowSlow = answerMillis > SLOW_ANSWER_MILLIS;
		if (nowSlow != this.slow) {
			this.slow = nowSlow;
			this.log.change(nowSlow ? "store slow" : "store fast again", Map.of("answer-millis", answerMillis));
		}
	}

	private boolean take(StoredObject object, long confirmedAtMillis) {
		Optional<RoutingTable> read = this.decoder.routingTable(object);
		if (read.isEmpty()) {
			return false;
		}
		if (this.table == null || read.get().version() > this.table.version()) {
			this.table = read.get();
			this.log.change("configuration in force", Map.of("version", this.table.version()));
		}
		boolean wasConfirmed = this.confirmed;
		this.confirmed = read.get().version() == this.table.version();
		if (this.confirmed) {
			this.newest = object;
			this.confirmedMillis = wasConfirmed ? Math.max(this.confirmedMillis, confirmedAtMillis) : confirmedAtMillis;
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
