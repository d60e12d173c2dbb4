package org.skylarkspring.gateway.pressure;

import java.util.HashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Bounds of the bytes of request bodies that a server may hold, by service. A server that
 * crashes while it holds much lowers the bound of its service. The bound rises again,
 * because the crash may have had another reason.
 */
final class BodyBounds {

	/** More than all slots and queue places of a server hold in usual bodies. */
	static final long DEFAULT_BOUND_BYTES = 32L * 1024 * 1024;

	/** A server that holds less has crashed for another reason than its bodies. */
	static final long MINIMUM_CRASH_BYTES = 4L * 1024 * 1024;

	/** Time in which a lowered bound doubles. */
	static final long DOUBLING_MILLIS = 60_000;

	/** Part of the held bytes that did not crash the server before. */
	private static final double SAFE_SHARE = 0.75;

	private final Map<String, Lowered> loweredByService = new HashMap<>();

	/**
	 * Returns the bound of each server of a service.
	 * @param service name of the service
	 * @param nowMillis current time in milliseconds
	 * @return the bound in bytes
	 */
	long boundBytes(String service, long nowMillis) {
		Lowered lowered = this.loweredByService.get(service);
		return (lowered != null) ? lowered.boundBytes(nowMillis) : DEFAULT_BOUND_BYTES;
	}

	/**
	 * Handles the crash of a server.
	 * @param service name of its service
	 * @param heldBytes bytes of the bodies that it held
	 * @param nowMillis current time in milliseconds
	 * @return the new bound in bytes, empty if the bound stays as it is
	 */
	OptionalLong recordCrash(String service, long heldBytes, long nowMillis) {
		long bound = (long) (heldBytes * SAFE_SHARE);
		if (heldBytes < MINIMUM_CRASH_BYTES || bound >= boundBytes(service, nowMillis)) {
			return OptionalLong.empty();
		}
		this.loweredByService.put(service, new Lowered(bound, nowMillis));
		return OptionalLong.of(bound);
	}

	/**
	 * Bound after a crash.
	 *
	 * @param bytes the bound at that time
	 * @param sinceMillis time of the crash in milliseconds
	 */
	private record Lowered(long bytes, long sinceMillis) {

		private long boundBytes(long nowMillis) {
			double doublings = (double) (nowMillis - this.sinceMillis) / DOUBLING_MILLIS;
			return (long) Math.min(DEFAULT_BOUND_BYTES, this.bytes * Math.pow(2, doublings));
		}

	}

}
