package org.skylarkspring.gateway.admission;

import org.skylarkspring.gateway.model.GenerationSize;

/**
 * Request of a caller of a {@link ClusterModel}.
 */
final class ModelRequest {

	final Kind kind;

	final String workspace;

	int priority;

	final GenerationSize size;

	final int totalOutputTokens;

	final long sentMillis;

	long arrivedMillis;

	long firstEventMillis = -1;

	long lastEventNumber;

	long pendingPrefillTokens;

	int outputTokens;

	long reservedTokens;

	EngineModel engine;

	AdmissionRequest admission;

	Outcome outcome;

	ModelRequest(Kind kind, String workspace, GenerationSize size, int totalOutputTokens, long sentMillis) {
		this.kind = kind;
		this.workspace = workspace;
		this.size = size;
		this.totalOutputTokens = totalOutputTokens;
		this.sentMillis = sentMillis;
		this.arrivedMillis = sentMillis;
	}

	long heldTokens() {
		return this.kind.promptTokens() + this.outputTokens;
	}

	long deadlineMillis() {
		return this.sentMillis + this.kind.timeoutMillis();
	}

	void onEvent(long nowMillis) {
		this.lastEventNumber++;
		this.firstEventMillis = (this.firstEventMillis < 0) ? nowMillis : this.firstEventMillis;
	}

	boolean isInTime() {
		return this.firstEventMillis - this.sentMillis <= this.kind.targetMillis();
	}

	/**
	 * What a caller got.
	 */
	enum Outcome {

		IN_TIME, LATE, REFUSED_AT_ONCE, REFUSED_LATE, DEADLINE_EXCEEDED

	}

	/**
	 * Class of requests.
	 *
	 * @param route route of the requests
	 * @param promptTokens number of tokens of the prompt
	 * @param events usual number of events
	 * @param targetMillis target for the time to the first event
	 * @param timeoutMillis longest time the caller waits
	 * @param value value of a response in time
	 * @param lateValue value of a late response
	 */
	record Kind(String route, int promptTokens, int events, long targetMillis, long timeoutMillis, double value,
			double lateValue) {

		static final Kind SUMMARY = new Kind("summary", 3_000, 187, 4_006, 20_000, 130, 30);

		static final Kind ANSWER = new Kind("answer", 2_200, 2, 1_504, 8_000, 67, 4);

	}

}
