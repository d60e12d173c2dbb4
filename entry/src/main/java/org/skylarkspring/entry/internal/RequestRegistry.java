package org.skylarkspring.entry.internal;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * Registry of the open requests and attempts of this instance.
 */
final class RequestRegistry {

	private final AtomicLong lastRequestId = new AtomicLong();

	private final Map<Long, CallerRequest> requestsById = new ConcurrentHashMap<>();

	private final Map<Long, Long> requestIdByAttemptId = new ConcurrentHashMap<>();

	long nextRequestId() {
		return this.lastRequestId.incrementAndGet();
	}

	void add(long requestId, CallerRequest request) {
		this.requestsById.put(requestId, request);
	}

	void remove(long requestId) {
		this.requestsById.remove(requestId);
	}

	void addAttempt(long attemptId, long requestId) {
		this.requestIdByAttemptId.put(attemptId, requestId);
	}

	void removeAttempt(long attemptId) {
		this.requestIdByAttemptId.remove(attemptId);
	}

	/**
	 * Runs a task for a request on the request's I/O thread. Has no effect if the request
	 * is not open any more.
	 * @param requestId number of the request
	 * @param task receives the request
	 */
	void runOnIoThread(long requestId, Consumer<CallerRequest> task) {
		CallerRequest request = this.requestsById.get(requestId);
		if (request != null) {
			request.ioThread().execute(() -> task.accept(request));
		}
	}

	void runOnIoThreadForAttempt(long attemptId, Consumer<CallerRequest> task) {
		Optional.ofNullable(this.requestIdByAttemptId.get(attemptId))
			.ifPresent((requestId) -> runOnIoThread(requestId, task));
	}

	int size() {
		return this.requestsById.size();
	}

}
