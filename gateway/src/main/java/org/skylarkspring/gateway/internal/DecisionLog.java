package org.skylarkspring.gateway.internal;

import java.util.Map;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs each decision about a request and each change of the instance state as a
 * structured log event.
 */
final class DecisionLog {

	/** Number of routine events per second above which further ones are omitted. */
	private static final int MAXIMUM_ROUTINE_EVENTS_PER_SECOND = 100;

	private static final long MILLIS_PER_SECOND = 1_000;

	private static final Logger REQUEST_LOGGER = LoggerFactory.getLogger("request");

	private static final Logger STATE_LOGGER = LoggerFactory.getLogger("state");

	private long windowStartMillis;

	private int routineEvents;

	private int omittedEvents;

	/**
	 * Logs a routine event about a request, unless the rate limit is exceeded.
	 * @param nowMillis current time
	 * @param requestId id of the request
	 * @param decision name of the decision
	 * @param fields values behind the decision
	 */
	void logRoutineRequest(long nowMillis, String requestId, String decision, Map<String, ?> fields) {
		if (nowMillis - this.windowStartMillis >= MILLIS_PER_SECOND) {
			if (this.omittedEvents > 0) {
				logStateChange("request log events omitted", Map.of("count", this.omittedEvents));
			}
			this.windowStartMillis = nowMillis;
			this.routineEvents = 0;
			this.omittedEvents = 0;
		}
		this.routineEvents++;
		if (this.routineEvents > MAXIMUM_ROUTINE_EVENTS_PER_SECOND) {
			this.omittedEvents++;
			return;
		}
		logRequest(requestId, decision, fields);
	}

	/**
	 * Logs an event about a request.
	 * @param requestId id of the request
	 * @param decision name of the decision
	 * @param fields values behind the decision
	 */
	void logRequest(String requestId, String decision, Map<String, ?> fields) {
		var event = REQUEST_LOGGER.atInfo().addKeyValue("request", requestId);
		fields.forEach(event::addKeyValue);
		event.log(decision);
	}

	/**
	 * Logs an exception that ends a request.
	 * @param requestId id of the request
	 * @param message what was done when it was thrown
	 * @param exception the exception
	 */
	void logException(String requestId, String message, Throwable exception) {
		REQUEST_LOGGER.atError().addKeyValue("request", requestId).setCause(exception).log(message);
	}

	/**
	 * Logs a change of the instance state.
	 * @param change name of the change
	 * @param fields values of the new state
	 */
	void logStateChange(String change, Map<String, ?> fields) {
		var event = STATE_LOGGER.atInfo();
		fields.forEach(event::addKeyValue);
		event.log(change);
	}

}
