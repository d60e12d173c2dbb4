package org.skylarkspring.gateway.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.skylarkspring.gateway.model.ObjectKind;
import org.skylarkspring.gateway.model.RoutingTable;
import org.skylarkspring.gateway.model.StoreResult;
import org.skylarkspring.gateway.model.StoredObject;
import org.skylarkspring.gateway.policy.SuspensionDetector;
import org.skylarkspring.gateway.port.ObjectDecoder;
import org.skylarkspring.gateway.port.ObjectStore;

/**
 * Keeps the newest configuration and the age of its last confirmation by the store. A
 * version lower than the one in force is never taken.
 */
final class ConfigurationFeed {

	private static final String NAME = "main";

	/** Half of the time in which a version must be in force. */
	private static final long POLL_MILLIS = 1_000;

	private static final long RETRY_MILLIS = 300;

	/** Many times the store's usual answer of some milliseconds. */
	private static final long SLOW_ANSWER_MILLIS = 100;

	/** Time between reading the age and the arrival of the request at the server. */
	private static final long AGE_MARGIN_MILLIS = 300;

	private final ObjectStore store;

	private final ObjectDecoder decoder;

	private final TimeSource time;

	private final DecisionLog log;

	private final long maximumAgeMillis;

	private final SuspensionDetector suspensions = new SuspensionDetector();

	private final List<Runnable> waiters = new ArrayList<>();

	private RoutingTable table;

	private long confirmedMillis;

	private boolean confirmed;

	private boolean failing;

	private boolean slow;

	private boolean reading;

	private int epoch;

	private TimeSource.Timer nextPoll;

	ConfigurationFeed(ObjectStore store, ObjectDecoder decoder, TimeSource time, DecisionLog log,
			long revocationMillis) {
		this.store = store;
		this.decoder = decoder;
		this.time = time;
		this.log = log;
		this.maximumAgeMillis = revocationMillis - AGE_MARGIN_MILLIS;
	}

	void start() {
		checkClocks();
		read();
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
	 * Runs a task after the next answer of the store, or its failure.
	 * @param task the task
	 */
	void afterNextRead(Runnable task) {
		this.waiters.add(task);
		read();
	}

	private void checkClocks() {
		if (this.suspensions.observe(this.time.nowMillis(), this.time.epochMillis())) {
			this.epoch++;
			this.confirmed = false;
			this.log.change("clocks moved apart, configuration is unconfirmed", Map.of("epoch", this.epoch));
			this.reading = false;
			read();
		}
	}

	private void read() {
		if (this.reading) {
			return;
		}
		this.reading = true;
		int startedEpoch = this.epoch;
		long startedMillis = this.time.nowMillis();
		this.store.read(ObjectKind.CONFIGURATION, NAME, (result) -> {
			if (startedEpoch == this.epoch) {
				this.reading = false;
				answered(result, startedMillis);
			}
		});
	}

	private void answered(StoreResult result, long startedMillis) {
		boolean taken = result instanceof StoreResult.Listed listed && !listed.objects().isEmpty()
				&& take(listed.objects().get(0), startedMillis);
		if (taken == this.failing) {
			this.failing = !taken;
			this.log.change(taken ? "configuration confirmed again" : "configuration not confirmed",
					Map.of("result", taken ? "read" : String.valueOf(result), "age-millis", ageMillis()));
		}
		noteSpeed(this.time.nowMillis() - startedMillis);
		List<Runnable> waiting = List.copyOf(this.waiters);
		this.waiters.clear();
		waiting.forEach(Runnable::run);
		if (this.nextPoll != null) {
			this.nextPoll.remove();
		}
		this.nextPoll = this.time.after(taken ? POLL_MILLIS : RETRY_MILLIS, this::poll);
	}

	private void noteSpeed(long answerMillis) {
		boolean nowSlow = answerMillis > SLOW_ANSWER_MILLIS;
		if (nowSlow != this.slow) {
			this.slow = nowSlow;
			this.log.change(nowSlow ? "store slow" : "store fast again", Map.of("answer-millis", answerMillis));
		}
	}

	private void poll() {
		checkClocks();
		read();
	}

	private boolean take(StoredObject object, long startedMillis) {
		Optional<RoutingTable> read = this.decoder.routingTable(object);
		if (read.isEmpty()) {
			return false;
		}
		if (this.table == null || read.get().version() > this.table.version()) {
			this.table = read.get();
			this.log.change("configuration in force", Map.of("version", this.table.version()));
		}
		this.confirmed = read.get().version() == this.table.version();
		this.confirmedMillis = startedMillis;
		return this.confirmed;
	}

}
