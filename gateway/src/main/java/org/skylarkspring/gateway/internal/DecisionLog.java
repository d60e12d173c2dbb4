package org.skylarkspring.gateway.internal;

import java.util.Map;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Logs each decision about a request and each change of the instance state as a
 * structured log event.
 */
final class DecisionLog {

	/**
	 * Number of log events per second above which routine events are omitted.
	 */
	private static final int MAXIMUM_ROUTINE_LINES_PER_SECOND = 100;

	private static final long MILLIS_PER_SECOND = 1_000;

	private static final Logger REQUEST_LOGGER = LoggerFactory.getLogger("request");

	private static final Logger STATE_LOGGER = LoggerFactory.getLogger("state");

	private long windowStartMillis;

	private int routineLines;

	private int omittedLines;

	/**
	 * Logs a routine event about a request, unless the rate limit is exceeded.
	 * @param nowMillis current time
	 * @param requestId id of the request
	 * @param decision name of the decision
	 * @param fields values behind the decision
	 */
	void logRoutineRequest(long nowMillis, String requestId, String decision, Map<String, ?> fields) {
		if (nowMillis - this.windowStartMillis >= MILLIS_PER_SECOND) {
			if (this.omittedLines > 0) {
				logStateChange("request log events omitted", Map.of("count", this.omittedLines));
			}
			this.windowStartMillis = nowMillis;
			this.routineLines = 0;
			this.omittedLines = 0;
		}
		this.routineLines++;
		if (this.routineLines > MAXIMUM_ROUTINE_LINES_PER_SECOND) {
			this.omittedLines++;
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
		var line = REQUEST_LOGGER.atInfo().addKeyValue("request", requestId);
		fields.forEach(line::addKeyValue);
		line.log(decision);
	}

	/**
	 * Logs a change of the instance state.
	 * @param change name of the change
	 * @param fields values of the new state
	 */
	void logStateChange(String change, Map<String, ?> fields) {
		var line = STATE_LOGGER.atInfo();
		fields.forEach(line::addKeyValue);
		line.log(change);
	}

}
