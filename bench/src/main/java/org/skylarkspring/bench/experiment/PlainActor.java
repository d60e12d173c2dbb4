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
 * A plain service on the virtual clock that runs every call it receives and keeps a
 * ledger. Calls may be refused before they run, or their answers may be lost.
 */
public final class PlainActor {

	private static final long WORK_MICROS = 30 * VirtualTime.MILLI;

	private static final int STATUS_CREATED = 201;

	private final VirtualTime time;

	private final InstanceRecord listing;

	private final SplittableRandom random;

	private final List<String> ledger = new ArrayList<>();

	private double refusalRatio;

	private double lossRatio;

	PlainActor(VirtualTime time, String serverId, String pool, String dataCentre, long seed) {
		this.time = time;
		this.random = new SplittableRandom(seed);
		this.listing = new InstanceRecord(serverId, InstanceRole.BACKEND, pool, dataCentre, serverId,
				InstanceState.LIVE);
	}

	/**
	 * Sets how often calls fail.
	 * @param newRefusalRatio part of the calls whose connection is refused
	 * @param newLossRatio part of the calls that run and whose answer is lost
	 */
	public void faults(double newRefusalRatio, double newLossRatio) {
		this.refusalRatio = newRefusalRatio;
		this.lossRatio = newLossRatio;
	}

	/**
	 * Returns the calls that have run.
	 * @return marks of the calls in the order in which they ran
	 */
	public List<String> ledger() {
		return this.ledger;
	}

	InstanceRecord listing() {
		return this.listing;
	}

	Optional<LoadReport> report() {
		return Optional
			.of(new LoadReport(this.listing.instanceId(), 1, this.time.nowMillis(), 0, 0, 0, 0, 0, 0, 0, "", false));
	}

	/**
	 * Runs a call.
	 * @param mark mark of the call in the ledger
	 * @param answer receives the answer
	 * @param failure receives whether the call may have run
	 */
	void call(String mark, Consumer<RecordedResponse> answer, Consumer<Verdict> failure) {
		if (this.random.nextDouble() < this.refusalRatio) {
			failure.accept(Verdict.NOT_RUN);
			return;
		}
		this.ledger.add(mark);
		String body = "booking " + this.ledger.size();
		boolean lost = this.random.nextDouble() < this.lossRatio;
		this.time.after(WORK_MICROS, () -> {
			if (lost) {
				failure.accept(Verdict.MAY_HAVE_RUN);
				return;
			}
			answer.accept(new RecordedResponse(STATUS_CREATED, "text/plain", body, false));
		});
	}

}
