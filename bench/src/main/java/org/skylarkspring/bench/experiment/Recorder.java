package org.skylarkspring.bench.experiment;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;

import org.skylarkspring.core.model.Outcome;
import org.skylarkspring.core.model.WorkClass;

/**
 * Records what callers got between the start and the end of the measured time.
 */
public final class Recorder {

	/** Time between two tokens above which the rest counts as stall. */
	private static final long STALL_MICROS = 250 * VirtualTime.MILLI;

	private static final long HIGHEST_MICROS = 3_600_000_000L;

	private static final int DIGITS = 3;

	private final VirtualTime time;

	private final long fromMillis;

	private final long toMillis;

	private final Map<WorkClass, ClassRecord> classes = new EnumMap<>(WorkClass.class);

	private final Map<String, WorkspaceRecord> workspaces = new TreeMap<>();

	private final long[] completedTokensBySecond;

	private TokenHistory history = (request, generation, offset) -> {
	};

	private long stateChanges;

	Recorder(VirtualTime time, long fromMillis, long toMillis) {
		this.time = time;
		this.fromMillis = fromMillis;
		this.toMillis = toMillis;
		this.completedTokensBySecond = new long[(int) (toMillis / 1_000) + 1];
		for (WorkClass workClass : WorkClass.values()) {
			this.classes.put(workClass, new ClassRecord());
		}
	}

	void offered(SimulatedRequest request) {
		if (measuring() && request.tries() == 0) {
			WorkspaceRecord workspace = workspace(request);
			workspace.offeredRequests++;
			workspace.offeredTokens += request.outputTokens();
			this.classes.get(request.workClass()).offered++;
		}
	}

	void betweenTokens(SimulatedRequest request, long micros) {
		if (measuring()) {
			ClassRecord record = this.classes.get(request.workClass());
			record.betweenTokens.recordValue(micros);
			record.stallMicros += Math.max(0, micros - STALL_MICROS);
		}
	}

	void finished(SimulatedRequest request, Outcome outcome, int tokens, long totalMicros, long firstTokenMicros) {
		int second = (int) Math.min(this.completedTokensBySecond.length - 1, this.time.nowMillis() / 1_000);
		if (outcome instanceof Outcome.Completed) {
			this.completedTokensBySecond[second] += tokens;
		}
		if (!measuring()) {
			return;
		}
		ClassRecord record = this.classes.get(request.workClass());
		WorkspaceRecord workspace = workspace(request);
		if (outcome instanceof Outcome.Completed) {
			record.completed++;
			if (firstTokenMicros >= 0) {
				record.firstToken.recordValue(firstTokenMicros);
			}
			boolean inTime = firstTokenMicros <= request.spec().deadlineMillis() * VirtualTime.MILLI;
			record.goodTokens += inTime ? tokens : 0;
		}
		else if (outcome instanceof Outcome.Failed refused) {
			boolean interrupted = refused.deliveredTokens() > 0;
			workspace.refusedTokens += interrupted ? request.outputTokens() - tokens : 0;
			record.refused += interrupted ? 0 : 1;
			record.interrupted += interrupted ? 1 : 0;
			record.refusalMicros += totalMicros;
		}
	}

	/**
	 * Sets who is told of every token delivered to a caller.
	 * @param newHistory receives the tokens
	 */
	public void history(TokenHistory newHistory) {
		this.history = newHistory;
	}

	void delivered(SimulatedRequest request, String generation, int offset) {
		this.history.delivered(request, generation, offset);
	}

	void gaveUp(SimulatedRequest request) {
		if (measuring()) {
			workspace(request).refusedTokens += request.outputTokens();
		}
	}

	void cut(SimulatedRequest request) {
		this.classes.get(request.workClass()).cut++;
	}

	void stateChanged() {
		this.stateChanges++;
	}

	/**
	 * Returns what one class got.
	 * @param workClass the class
	 * @return its record
	 */
	public ClassRecord of(WorkClass workClass) {
		return this.classes.get(workClass);
	}

	/**
	 * Returns what the workspaces got.
	 * @return records by workspace
	 */
	public Map<String, WorkspaceRecord> workspaces() {
		return this.workspaces;
	}

	/**
	 * Returns the tokens of completed answers by second.
	 * @return number of tokens for each second since the start
	 */
	public long[] completedTokensBySecond() {
		return this.completedTokensBySecond;
	}

	double measuredSeconds() {
		return (this.toMillis - this.fromMillis) / 1_000.0;
	}

	private boolean measuring() {
		long now = this.time.nowMillis();
		return now >= this.fromMillis && now < this.toMillis;
	}

	private WorkspaceRecord workspace(SimulatedRequest request) {
		return this.workspaces.computeIfAbsent(request.spec().workspace(), (name) -> new WorkspaceRecord());
	}

	/**
	 * Told of every token delivered to a caller.
	 */
	@FunctionalInterface
	public interface TokenHistory {

		/**
		 * A token was delivered.
		 * @param request the caller's request
		 * @param generation generation of the token
		 * @param offset offset of the token
		 */
		void delivered(SimulatedRequest request, String generation, int offset);

	}

	/**
	 * Told when a request has its final answer.
	 */
	@FunctionalInterface
	public interface Finished {

		/**
		 * The request has its final answer.
		 * @param outcome the answer
		 */
		void finished(Outcome outcome);

	}

	/**
	 * What one class got.
	 */
	public static final class ClassRecord {

		final Histogram firstToken = new Histogram(HIGHEST_MICROS, DIGITS);

		final Histogram betweenTokens = new Histogram(HIGHEST_MICROS, DIGITS);

		long offered;

		long completed;

		long refused;

		long interrupted;

		long cut;

		long goodTokens;

		long stallMicros;

		long refusalMicros;

	}

	/**
	 * What one workspace got.
	 */
	public static final class WorkspaceRecord {

		long offeredRequests;

		long offeredTokens;

		/**
		 * Tokens of requests given up and of the missing parts of interrupted answers.
		 */
		long refusedTokens;

		long servedTokens() {
			return Math.max(0, this.offeredTokens - this.refusedTokens);
		}

	}

}
