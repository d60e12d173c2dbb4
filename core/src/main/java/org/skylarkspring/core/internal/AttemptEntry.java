package org.skylarkspring.core.internal;

/**
 * One dispatch of a request to a backend server. A request can have several attempts.
 */
final class AttemptEntry {

	final long attemptId;

	final RequestEntry request;

	final ServerEntry server;

	final long placedAtMillis;

	long lastProgressMillis;

	int outputTokens;

	double reservedBlocks;

	boolean coveredByReport;

	boolean resumed;

	AttemptEntry(long attemptId, RequestEntry request, ServerEntry server, long placedAtMillis) {
		this.attemptId = attemptId;
		this.request = request;
		this.server = server;
		this.placedAtMillis = placedAtMillis;
		this.lastProgressMillis = placedAtMillis;
	}

	int contextTokens() {
		return this.request.spec.promptTokens() + this.outputTokens;
	}

}
