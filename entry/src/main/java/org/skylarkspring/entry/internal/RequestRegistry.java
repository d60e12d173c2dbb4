package org.skylarkspring.entry.internal;

import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.atomic.AtomicLong;
import java.util.function.Consumer;

/**
 * Open requests of the instance by their number.
 */
final class RequestRegistry {

	private final AtomicLong lastRequestId = new AtomicLong();

	private final Map<Long, CallerRequest> requests = new ConcurrentHashMap<>();

	private final Map<Long, Long> requestOfAttempt = new ConcurrentHashMap<>();

	long nextRequestId() {
		return this.lastRequestId.incrementAndGet();
	}

	void add(long requestId, CallerRequest request) {
		this.requests.put(requestId, request);
	}

	void remove(long requestId) {
		this.requests.remove(requestId);
	}

	void attempt(long attemptId, long requestId) {
		this.requestOfAttempt.put(attemptId, requestId);
	}

	void attemptEnded(long attemptId) {
		this.requestOfAttempt.remove(attemptId);
	}

	/**
	 * Runs a task for a request on the request's I/O thread.
	 * @param requestId number of the request
	 * @param task the task
	 */
	void run(long requestId, Consumer<CallerRequest> task) {
		CallerRequest request = this.requests.get(requestId);
		if (request != null) {
			request.ioThread().execute(() -> task.accept(request));
		}
	}

	void runForAttempt(long attemptId, Consumer<CallerRequest> task) {
		Optional.ofNullable(this.requestOfAttempt.get(attemptId)).ifPresent((requestId) -> run(requestId, task));
	}

	int size() {
		return this.requests.size();
	}

}
