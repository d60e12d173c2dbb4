package org.skylarkspring.gateway.internal;

import java.util.Map;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

/**
 * Writes one structured line for each decision about a request and for each change of
 * what the instance believes.
 */
final class DecisionLog {

	/** Lines a second above which lines about requests that went well are left out. */
	private static final int MAXIMUM_ROUTINE_LINES_PER_SECOND = 100;

	private static final long MILLIS_PER_SECOND = 1_000;

	private static final Logger REQUEST_LOGGER = LoggerFactory.getLogger("request");

	private static final Logger STATE_LOGGER = LoggerFactory.getLogger("state");

	private long windowStartMillis;

	private int routineLines;

	private int omittedLines;

	/**
	 * Writes a line about a request that went well, unless there are too many.
	 * @param nowMillis current time
	 * @param requestId id of the request
	 * @param decision what was decided
	 * @param inputs what decided it
	 */
	void logRoutineRequest(long nowMillis, String requestId, String decision, Map<String, ?> inputs) {
		if (nowMillis - this.windowStartMillis >= MILLIS_PER_SECOND) {
			if (this.omittedLines > 0) {
				logStateChange("request lines omitted", Map.of("count", this.omittedLines));
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
		logRequest(requestId, decision, inputs);
	}

	/**
	 * Writes a line about a request.
	 * @param requestId id of the request
	 * @param decision what was decided
	 * @param inputs what decided it
	 */
	void logRequest(String requestId, String decision, Map<String, ?> inputs) {
		var line = REQUEST_LOGGER.atInfo().addKeyValue("request", requestId);
		inputs.forEach(line::addKeyValue);
		line.log(decision);
	}

	/**
	 * Writes a line about a change of what the instance believes.
	 * @param change what changed
	 * @param inputs what is believed now
	 */
	void logStateChange(String change, Map<String, ?> inputs) {
		var line = STATE_LOGGER.atInfo();
		inputs.forEach(line::addKeyValue);
		line.log(change);
	}

}
