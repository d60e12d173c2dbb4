package org.skylarkspring.gateway.internal;

import java.util.EnumMap;
import java.util.Map;
import java.util.function.DoubleSupplier;

import org.skylarkspring.gateway.model.ObjectKind;

/**
 * Limits the calls to the platform's store by which an instance bypasses a relay that
 * responds but cannot reach the store. Usually the store is unavailable to all then, and
 * the calls of all instances would only add to its load; but it may reject some instances
 * and serve others, so that each one tries now and then.
 */
final class StoreFallbackLimiter {

	/** Several attempts within the time for which API keys stay valid. */
	private static final long CONFIGURATION_INTERVAL_MILLIS = 700;

	private static final long LIST_INTERVAL_MILLIS = 2_000;

	/** Smallest factor of the interval, so that instances do not all call at once. */
	private static final double MINIMUM_FACTOR = 0.5;

	private final Scheduler scheduler;

	private final DoubleSupplier random;

	private final Map<ObjectKind, Long> nextCallMillis = new EnumMap<>(ObjectKind.class);

	/**
	 * Creates a limiter.
	 * @param scheduler clock
	 * @param random random numbers from 0 to below 1
	 */
	StoreFallbackLimiter(Scheduler scheduler, DoubleSupplier random) {
		this.scheduler = scheduler;
		this.random = random;
	}

	/**
	 * Acquires a call if one is due. After the relay has responded normally, a call for
	 * the configuration is due at once, because a relay that was cut off shows it by the
	 * age of its configuration first, and other calls about one interval later.
	 * @param kind kind of the objects
	 * @return whether the store may be called
	 */
	boolean tryAcquire(ObjectKind kind) {
		long now = this.scheduler.nowMillis();
		Long due = this.nextCallMillis.get(kind);
		if (due != null && now < due) {
			return false;
		}
		this.nextCallMillis.put(kind, now + intervalMillis(kind));
		return due != null || kind == ObjectKind.CONFIGURATION;
	}

	/**
	 * Records that the relay responded normally.
	 * @param kind kind of the objects
	 */
	void reset(ObjectKind kind) {
		this.nextCallMillis.remove(kind);
	}

	private long intervalMillis(ObjectKind kind) {
		long interval = (kind == ObjectKind.CONFIGURATION) ? CONFIGURATION_INTERVAL_MILLIS : LIST_INTERVAL_MILLIS;
		return Math.round(interval * (MINIMUM_FACTOR + this.random.getAsDouble()));
	}

}
