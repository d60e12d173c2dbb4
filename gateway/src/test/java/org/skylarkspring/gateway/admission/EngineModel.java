package org.skylarkspring.gateway.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.List;

/**
 * Model of a model engine: it runs its requests in steps, queues those for which it has
 * no slot or memory, and preempts the latest one when its memory is exhausted.
 */
final class EngineModel {

	static final int SLOTS = 24;

	static final long CAPACITY_TOKENS = 26_800;

	private static final int MAXIMUM_QUEUED = 72;

	private static final double STEP_MILLIS = 7;

	private static final double STEP_MILLIS_PER_REQUEST = 0.12;

	private static final int CHUNK_TOKENS = 112;

	private static final double PREFILL_TOKENS_PER_MILLI = 14;

	private static final int TOKENS_PER_EVENT = 4;

	private final String id;

	private final List<ModelRequest> queued = new ArrayList<>();

	private final List<ModelRequest> running = new ArrayList<>();

	private double clockMillis;

	private int preemptions;

	EngineModel(String id) {
		this.id = id;
	}

	String id() {
		return this.id;
	}

	int preemptions() {
		return this.preemptions;
	}

	/**
	 * Accepts a request.
	 * @param request the request
	 * @return {@code false} if the queue is full
	 */
	boolean accept(ModelRequest request) {
		if (this.queued.size() >= MAXIMUM_QUEUED) {
			return false;
		}
		request.pendingPrefillTokens = request.kind.promptTokens();
		this.queued.add(request);
		return true;
	}

	void cancel(ModelRequest request) {
		this.queued.remove(request);
		this.running.remove(request);
	}

	/**
	 * Runs steps until a time.
	 * @param untilMillis the time
	 * @return the requests that have ended
	 */
	List<ModelRequest> runUntil(double untilMillis) {
		List<ModelRequest> ended = new ArrayList<>();
		while (this.clockMillis < untilMillis) {
			startQueued();
			if (this.running.isEmpty()) {
				this.clockMillis = untilMillis;
				break;
			}
			runStep(ended);
		}
		return ended;
	}

	private void startQueued() {
		this.queued.sort(Comparator.comparingInt((request) -> request.priority));
		while (!this.queued.isEmpty() && this.running.size() < SLOTS
				&& usedTokens() + this.queued.get(0).heldTokens() <= CAPACITY_TOKENS) {
			this.running.add(this.queued.remove(0));
		}
	}

	private long usedTokens() {
		return this.running.stream().mapToLong(ModelRequest::heldTokens).sum();
	}

	private void runStep(List<ModelRequest> ended) {
		double millis = STEP_MILLIS + STEP_MILLIS_PER_REQUEST * this.running.size();
		ModelRequest prefilling = this.running.stream()
			.filter((request) -> request.pendingPrefillTokens > 0)
			.findFirst()
			.orElse(null);
		if (prefilling != null) {
			long chunk = Math.min(CHUNK_TOKENS, prefilling.pendingPrefillTokens);
			prefilling.pendingPrefillTokens -= chunk;
			millis += chunk / PREFILL_TOKENS_PER_MILLI;
		}
		this.clockMillis += millis;
		List<ModelRequest> generating = this.running.stream()
			.filter((request) -> request != prefilling && request.pendingPrefillTokens == 0)
			.toList();
		generating.forEach((request) -> generate(request, ended));
		preemptWhileExhausted();
	}

	private void generate(ModelRequest request, List<ModelRequest> ended) {
		request.outputTokens++;
		boolean last = request.outputTokens >= request.totalOutputTokens;
		if (request.outputTokens % TOKENS_PER_EVENT == 0 || last) {
			request.onEvent((long) this.clockMillis);
		}
		if (last) {
			this.running.remove(request);
			ended.add(request);
		}
	}

	private void preemptWhileExhausted() {
		while (usedTokens() > CAPACITY_TOKENS && this.running.size() > 1) {
			ModelRequest latest = this.running.remove(this.running.size() - 1);
			latest.pendingPrefillTokens = latest.heldTokens();
			this.queued.add(0, latest);
			this.preemptions++;
		}
	}

}
