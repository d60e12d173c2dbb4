package org.skylarkspring.core.internal;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

/**
 * Table of all requests without a final outcome, and of their attempts.
 */
final class RequestTable {

	private final Map<Long, RequestEntry> requests = new LinkedHashMap<>();

	private final Map<Long, AttemptEntry> attempts = new LinkedHashMap<>();

	void add(RequestEntry request) {
		this.requests.put(request.requestId, request);
	}

	Optional<RequestEntry> find(long requestId) {
		return Optional.ofNullable(this.requests.get(requestId));
	}

	void remove(RequestEntry request) {
		this.requests.remove(request.requestId);
	}

	void addAttempt(AttemptEntry attempt) {
		this.attempts.put(attempt.attemptId, attempt);
	}

	Optional<AttemptEntry> findAttempt(long attemptId) {
		return Optional.ofNullable(this.attempts.get(attemptId));
	}

	void removeAttempt(AttemptEntry attempt) {
		this.attempts.remove(attempt.attemptId);
	}

	Collection<AttemptEntry> attempts() {
		return this.attempts.values();
	}

	int size() {
		return this.requests.size();
	}

}
