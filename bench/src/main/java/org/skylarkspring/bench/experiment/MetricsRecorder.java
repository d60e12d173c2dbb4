package org.skylarkspring.bench.experiment;

import java.util.EnumMap;
import java.util.Map;
import java.util.TreeMap;

import org.HdrHistogram.Histogram;

import org.skylarkspring.core.model.Outcome;
import org.skylarkspring.core.model.WorkClass;

/**
 * Records the requests, latencies and outcomes that callers observe during the
 * measurement period.
 */
public final class MetricsRecorder {

	/** Time between two tokens beyond which the excess counts as stall time. */
	private static final long STALL_THRESHOLD_MICROS = 250 * VirtualClock.MICROS_PER_MILLI;

	private static final long HIGHEST_TRACKABLE_MICROS = 3_600_000_000L;

	private static final int SIGNIFICANT_DIGITS = 3;

	private final VirtualClock clock;

	private final long measurementStartMillis;

	private final long measurementEndMillis;

	private final Map<WorkClass, ClassStatistics> classStatistics = new EnumMap<>(WorkClass.class);

	private final Map<String, WorkspaceStatistics> workspaceStatistics = new TreeMap<>();

	private final long[] completedTokensBySecond;

	private DeliveryListener deliveryListener = (request, generation, offset) -> {
	};

	private long stateChangeCount;

	MetricsRecorder(VirtualClock clock, long measurementStartMillis, long measurementEndMillis) {
		this.clock = clock;
		this.measurementStartMillis = measurementStartMillis;
		this.measurementEndMillis = measurementEndMillis;
		this.completedTokensBySecond = new long[(int) (measurementEndMillis / 1_000) + 1];
		for (WorkClass workClass : WorkClass.values()) {
			this.classStatistics.put(workClass, new ClassStatistics());
		}
	}

	void recordOffered(SimulatedRequest request) {
		if (isMeasuring() && request.retryCount() == 0) {
			WorkspaceStatistics workspace = statisticsOfWorkspace(request);
			workspace.offeredRequests++;
			workspace.offeredTokens += request.outputTokens();
			this.classStatistics.get(request.workClass()).offered++;
		}
	}

	void recordInterTokenLatency(SimulatedRequest request, long micros) {
		if (isMeasuring()) {
			ClassStatistics record = this.classStatistics.get(request.workClass());
			record.interTokenLatency.recordValue(micros);
			record.stallMicros += Math.max(0, micros - STALL_THRESHOLD_MICROS);
		}
	}

	void recordFinished(SimulatedRequest request, Outcome outcome, int tokens, long totalMicros,
			long firstTokenMicros) {
		int second = (int) Math.min(this.completedTokensBySecond.length - 1, this.clock.nowMillis() / 1_000);
		if (outcome instanceof Outcome.Completed) {
			this.completedTokensBySecond[second] += tokens;
		}
		if (!isMeasuring()) {
			return;
		}
		ClassStatistics record = this.classStatistics.get(request.workClass());
		WorkspaceStatistics workspace = statisticsOfWorkspace(request);
		if (outcome instanceof Outcome.Completed) {
			record.completed++;
			if (firstTokenMicros >= 0) {
				record.firstTokenLatency.recordValue(firstTokenMicros);
			}
			boolean firstTokenInTime = firstTokenMicros <= request.spec().deadlineMillis()
					* VirtualClock.MICROS_PER_MILLI;
			record.goodputTokens += firstTokenInTime ? tokens : 0;
		}
		else if (outcome instanceof Outcome.Failed failure) {
			boolean interrupted = failure.deliveredTokens() > 0;
			workspace.unservedTokens += interrupted ? request.outputTokens() - tokens : 0;
			record.refused += interrupted ? 0 : 1;
			record.interrupted += interrupted ? 1 : 0;
			record.totalFailureMicros += totalMicros;
		}
	}

	/**
	 * Sets the listener for the tokens delivered to callers.
	 * @param newListener receives every delivered token
	 */
	public void setDeliveryListener(DeliveryListener newListener) {
		this.deliveryListener = newListener;
	}

	void recordDeliveredToken(SimulatedRequest request, String generation, int offset) {
		this.deliveryListener.onTokenDelivered(request, generation, offset);
	}

	void recordAbandoned(SimulatedRequest request) {
		if (isMeasuring()) {
			statisticsOfWorkspace(request).unservedTokens += request.outputTokens();
		}
	}

	void recordDisconnect(SimulatedRequest request) {
		this.classStatistics.get(request.workClass()).disconnected++;
	}

	void recordStateChange() {
		this.stateChangeCount++;
	}

	/**
	 * Returns the statistics of one work class.
	 * @param workClass the work class
	 * @return statistics of the work class
	 */
	public ClassStatistics classStatistics(WorkClass workClass) {
		return this.classStatistics.get(workClass);
	}

	/**
	 * Returns the statistics of the workspaces.
	 * @return statistics by name of the workspace
	 */
	public Map<String, WorkspaceStatistics> workspaceStatistics() {
		return this.workspaceStatistics;
	}

	/**
	 * Returns the tokens of completed responses by second of completion.
	 * @return number of tokens for each second since the start of the simulation
	 */
	public long[] completedTokensBySecond() {
		return this.completedTokensBySecond;
	}

	double measuredSeconds() {
		return (this.measurementEndMillis - this.measurementStartMillis) / 1_000.0;
	}

	private boolean isMeasuring() {
		long now = this.clock.nowMillis();
		return now >= this.measurementStartMillis && now < this.measurementEndMillis;
	}

	private WorkspaceStatistics statisticsOfWorkspace(SimulatedRequest request) {
		return this.workspaceStatistics.computeIfAbsent(request.spec().workspace(),
				(name) -> new WorkspaceStatistics());
	}

	/**
	 * Receives every token delivered to a caller.
	 */
	@FunctionalInterface
	public interface DeliveryListener {

		/**
		 * Called when a token has been delivered.
		 * @param request the caller's request
		 * @param generation id of the generation that produced the token
		 * @param offset offset of the token in the generation
		 */
		void onTokenDelivered(SimulatedRequest request, String generation, int offset);

	}

	/**
	 * Receives the final outcome of a request.
	 */
	@FunctionalInterface
	public interface CompletionListener {

		/**
		 * Called when the request is finished.
		 * @param outcome the final outcome
		 */
		void onFinished(Outcome outcome);

	}

	/**
	 * Statistics of one work class.
	 */
	public static final class ClassStatistics {

		final Histogram firstTokenLatency = new Histogram(HIGHEST_TRACKABLE_MICROS, SIGNIFICANT_DIGITS);

		final Histogram interTokenLatency = new Histogram(HIGHEST_TRACKABLE_MICROS, SIGNIFICANT_DIGITS);

		long offered;

		long completed;

		long refused;

		long interrupted;

		long disconnected;

		long goodputTokens;

		long stallMicros;

		long totalFailureMicros;

	}

	/**
	 * Statistics of one workspace.
	 */
	public static final class WorkspaceStatistics {

		long offeredRequests;

		long offeredTokens;

		/**
		 * Tokens of abandoned requests plus the missing tokens of interrupted responses.
		 */
		long unservedTokens;

		long servedTokens() {
			return Math.max(0, this.offeredTokens - this.unservedTokens);
		}

	}

}
