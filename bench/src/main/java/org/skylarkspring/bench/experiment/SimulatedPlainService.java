package org.skylarkspring.bench.experiment;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.SplittableRandom;
import java.util.function.Consumer;

import org.skylarkspring.core.model.InstanceRecord;
import org.skylarkspring.core.model.InstanceRole;
import org.skylarkspring.core.model.InstanceState;
import org.skylarkspring.core.model.LoadReport;
import org.skylarkspring.core.model.RecordedResponse;
import org.skylarkspring.core.model.Verdict;

/**
 * Simulates a plain service on the virtual clock. It runs every call that it accepts and
 * records the call's id. Calls may be refused before they run, or their responses may be
 * lost.
 */
public final class SimulatedPlainService {

	private static final long PROCESSING_MICROS = 30 * VirtualClock.MICROS_PER_MILLI;

	private static final int STATUS_CREATED = 201;

	private final VirtualClock clock;

	private final InstanceRecord instanceRecord;

	private final SplittableRandom random;

	private final List<String> executedCalls = new ArrayList<>();

	private double refusalRatio;

	private double responseLossRatio;

	SimulatedPlainService(VirtualClock clock, String serverId, String pool, String dataCentre, long seed) {
		this.clock = clock;
		this.random = new SplittableRandom(seed);
		this.instanceRecord = new InstanceRecord(serverId, InstanceRole.BACKEND, pool, dataCentre, serverId,
				InstanceState.LIVE);
	}

	/**
	 * Sets how often calls fail.
	 * @param newRefusalRatio fraction of the calls whose connection is refused
	 * @param newLossRatio fraction of the executed calls whose response is lost
	 */
	public void setFailureRatios(double newRefusalRatio, double newLossRatio) {
		this.refusalRatio = newRefusalRatio;
		this.responseLossRatio = newLossRatio;
	}

	/**
	 * Returns the calls that have run.
	 * @return ids of the calls in the order in which they ran
	 */
	public List<String> executedCalls() {
		return this.executedCalls;
	}

	InstanceRecord instanceRecord() {
		return this.instanceRecord;
	}

	Optional<LoadReport> loadReport() {
		return Optional.of(new LoadReport(this.instanceRecord.instanceId(), 1, this.clock.nowMillis(), 0, 0, 0, 0, 0, 0,
				0, "", false));
	}

	/**
	 * Runs a call.
	 * @param callId id of the call, recorded when it runs
	 * @param onResponse receives the response
	 * @param onFailure receives whether the call may have run
	 */
	void call(String callId, Consumer<RecordedResponse> onResponse, Consumer<Verdict> onFailure) {
		if (this.random.nextDouble() < this.refusalRatio) {
			onFailure.accept(Verdict.NOT_RUN);
			return;
		}
		this.executedCalls.add(callId);
		String body = "booking " + this.executedCalls.size();
		boolean responseLost = this.random.nextDouble() < this.responseLossRatio;
		this.clock.schedule(PROCESSING_MICROS, () -> {
			if (responseLost) {
				onFailure.accept(Verdict.MAY_HAVE_RUN);
				return;
			}
			onResponse.accept(new RecordedResponse(STATUS_CREATED, "text/plain", body, false));
		});
	}

}
