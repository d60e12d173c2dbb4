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
 * Books through random entry instances, each booking several times with the same key, and
 * checks the history against the ledger of the service.
 */
final class BookingHistory {

	private static final long EPOCH_MILLIS = 1_800_000_000_000L;

	private final World world;

	private final SplittableRandom random;

	private final boolean keyed;

	private final List<Told> history = new ArrayList<>();

	BookingHistory(World world, long seed, boolean keyed) {
		this.world = world;
		this.random = new SplittableRandom(seed);
		this.keyed = keyed;
	}

	void bookEvery(long periodMillis, int bookings, int repeats) {
		for (int booking = 0; booking < bookings; booking++) {
			for (int repeat = 0; repeat < repeats; repeat++) {
				long at = booking * periodMillis + this.random.nextInt(4_000) * (long) repeat;
				int number = booking;
				String mark = booking + "#" + repeat;
				this.world.time().after(at * VirtualTime.MILLI, () -> send(number, mark));
			}
		}
	}

	private void send(int booking, String mark) {
		List<EntryActor> live = this.world.entries().stream().filter(EntryActor::alive).toList();
		EntryActor entry = live.get(this.random.nextInt(live.size()));
		RequestSpec spec = RequestSpec.builder(Deployment.PLAIN_SERVICE, "w0")
			.streamed(false)
			.idempotent(!this.keyed)
			.idempotencyKey(key(booking))
			.bodyDigest("body " + booking)
			.receivedAtEpochMillis(EPOCH_MILLIS)
			.deadlineMillis(10_000)
			.build();
		entry.submit(new SimulatedRequest(spec, WorkClass.DEADLINE, 0, 0, mark),
				(outcome) -> this.history.add(new Told(mark, outcome)));
	}

	/**
	 * Counts the bookings that ran more than once.
	 * @return number of doubled bookings
	 */
	long doubled() {
		return this.world.plain()
			.ledger()
			.stream()
			.collect(Collectors.groupingBy((mark) -> mark.substring(0, mark.indexOf('#')), Collectors.counting()))
			.values()
			.stream()
			.filter((count) -> count > 1)
			.count();
	}

	/**
	 * Counts the requests that were told they had not run, and had.
	 * @return number of false refusals
	 */
	long falseRefusals() {
		Set<String> ran = new HashSet<>(this.world.plain().ledger());
		return this.history.stream().filter((told) -> told.notRun() && ran.contains(told.mark())).count();
	}

	/**
	 * Counts the answers that belong to another booking.
	 * @return number of crossed answers
	 */
	long crossed() {
		List<String> ledger = this.world.plain().ledger();
		return this.history.stream()
			.filter((told) -> told.outcome() instanceof Outcome.Replayed)
			.filter((told) -> !told.replayedFrom(ledger).equals(told.booking()))
			.count();
	}

	long completed() {
		return this.history.stream().filter((told) -> told.outcome() instanceof Outcome.Completed).count();
	}

	long replayed() {
		return this.history.stream().filter((told) -> told.outcome() instanceof Outcome.Replayed).count();
	}

	private static String key(int booking) {
		return String.format("%08x-%04x-7000-8000-%012x", EPOCH_MILLIS >>> 16, EPOCH_MILLIS & 0xffff, booking);
	}

	private record Told(String mark, Outcome outcome) {

		private boolean notRun() {
			return this.outcome instanceof Outcome.Failed refused && refused.verdict() == Verdict.NOT_RUN;
		}

		private String booking() {
			return this.mark.substring(0, this.mark.indexOf('#'));
		}

		private String replayedFrom(List<String> ledger) {
			String body = ((Outcome.Replayed) this.outcome).response().body();
			String mark = ledger.get(Integer.parseInt(body.substring("booking ".length())) - 1);
			return mark.substring(0, mark.indexOf('#'));
		}

	}

}
