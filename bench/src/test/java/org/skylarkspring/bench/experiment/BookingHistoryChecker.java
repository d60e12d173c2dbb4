package org.skylarkspring.bench.experiment;

import java.util.ArrayList;
import java.util.HashSet;
import java.util.List;
import java.util.Set;
import java.util.SplittableRandom;
import java.util.stream.Collectors;

import org.skylarkspring.core.model.Outcome;
import org.skylarkspring.core.model.RequestSpec;
import org.skylarkspring.core.model.Verdict;
import org.skylarkspring.core.model.WorkClass;

/**
 * Sends bookings through random entry instances, each booking several times with the same
 * idempotency key, and compares the outcomes with the calls that the service ran.
 */
final class BookingHistoryChecker {

	private static final long EPOCH_MILLIS = 1_800_000_000_000L;

	private final Simulation simulation;

	private final SplittableRandom random;

	private final boolean usesClaims;

	private final List<BookingResult> results = new ArrayList<>();

	private List<SimulatedEntryInstance> entryInstances;

	BookingHistoryChecker(Simulation simulation, long seed, boolean usesClaims) {
		this.simulation = simulation;
		this.random = new SplittableRandom(seed);
		this.usesClaims = usesClaims;
		this.entryInstances = simulation.entryInstances();
	}

	/**
	 * Sends further bookings through other entry instances.
	 * @param instances the instances
	 */
	void sendThrough(List<SimulatedEntryInstance> instances) {
		this.entryInstances = instances;
	}

	void scheduleBookings(long periodMillis, int bookings, int repeats) {
		for (int booking = 0; booking < bookings; booking++) {
			for (int repeat = 0; repeat < repeats; repeat++) {
				long atMillis = booking * periodMillis + this.random.nextInt(4_000) * (long) repeat;
				int number = booking;
				String callId = booking + "#" + repeat;
				this.simulation.clock()
					.schedule(atMillis * VirtualClock.MICROS_PER_MILLI, () -> sendBooking(number, callId));
			}
		}
	}

	private void sendBooking(int booking, String callId) {
		List<SimulatedEntryInstance> liveInstances = this.entryInstances.stream()
			.filter(SimulatedEntryInstance::isAlive)
			.toList();
		SimulatedEntryInstance entry = liveInstances.get(this.random.nextInt(liveInstances.size()));
		RequestSpec spec = RequestSpec.builder(Deployment.PLAIN_SERVICE, "w0")
			.streamed(false)
			.idempotent(!this.usesClaims)
			.idempotencyKey(idempotencyKeyFor(booking))
			.bodyDigest("body " + booking)
			.receivedAtEpochMillis(EPOCH_MILLIS)
			.deadlineMillis(10_000)
			.build();
		entry.submit(new SimulatedRequest(spec, WorkClass.DEADLINE, 0, 0, callId),
				(outcome) -> this.results.add(new BookingResult(callId, outcome)));
	}

	/**
	 * Counts the bookings that ran more than once.
	 * @return number of duplicate bookings
	 */
	long countDuplicateBookings() {
		return this.simulation.plainService()
			.executedCalls()
			.stream()
			.collect(Collectors.groupingBy((callId) -> callId.substring(0, callId.indexOf('#')), Collectors.counting()))
			.values()
			.stream()
			.filter((count) -> count > 1)
			.count();
	}

	/**
	 * Counts the requests that were reported as not run although they had run.
	 * @return number of false reports
	 */
	long countFalseNotRunResponses() {
		Set<String> executedCallIds = new HashSet<>(this.simulation.plainService().executedCalls());
		return this.results.stream()
			.filter((result) -> result.isReportedNotRun() && executedCallIds.contains(result.callId()))
			.count();
	}

	/**
	 * Counts the replayed responses that belong to another booking.
	 * @return number of mismatched responses
	 */
	long countMismatchedReplays() {
		List<String> executedCalls = this.simulation.plainService().executedCalls();
		return this.results.stream()
			.filter((result) -> result.outcome() instanceof Outcome.Replayed)
			.filter((result) -> !result.replayedBookingId(executedCalls).equals(result.bookingId()))
			.count();
	}

	long countCompleted() {
		return this.results.stream().filter((result) -> result.outcome() instanceof Outcome.Completed).count();
	}

	long countReplayed() {
		return this.results.stream().filter((result) -> result.outcome() instanceof Outcome.Replayed).count();
	}

	private static String idempotencyKeyFor(int booking) {
		return String.format("%08x-%04x-7000-8000-%012x", EPOCH_MILLIS >>> 16, EPOCH_MILLIS & 0xffff, booking);
	}

	private record BookingResult(String callId, Outcome outcome) {

		private boolean isReportedNotRun() {
			return this.outcome instanceof Outcome.Failed failure && failure.verdict() == Verdict.NOT_RUN;
		}

		private String bookingId() {
			return this.callId.substring(0, this.callId.indexOf('#'));
		}

		private String replayedBookingId(List<String> executedCalls) {
			String body = ((Outcome.Replayed) this.outcome).response().body();
			String callId = executedCalls.get(Integer.parseInt(body.substring("booking ".length())) - 1);
			return callId.substring(0, callId.indexOf('#'));
		}

	}

}
