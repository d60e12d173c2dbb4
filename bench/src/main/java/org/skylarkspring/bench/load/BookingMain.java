package org.skylarkspring.bench.load;

import java.io.IOException;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionException;

import com.google.gson.JsonArray;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

import org.skylarkspring.entry.http.HttpClientRequest;
import org.skylarkspring.entry.http.HttpClientResponse;
import org.skylarkspring.entry.http.Json;

/**
 * Books again and again, repeats each booking with its key through another instance, and
 * compares what callers were told with the ledger of the plain stand-in. Exits with 1 if
 * a booking doubled, was lost, was crossed, or was falsely said not to have run.
 */
public final class BookingMain {

	private static final int STATUS_CREATED = 201;

	private static final long BOOKING_INTERVAL_MILLIS = 40;

	private final CommandLine flags;

	private final AddressList addresses;

	private final CallerClient client;

	private final List<Booking> bookings = new ArrayList<>();

	private BookingMain(CommandLine flags, CallerClient client) {
		this.flags = flags;
		this.addresses = new AddressList(flags.getOptionValue("addresses"));
		this.client = client;
	}

	/**
	 * Runs the bookings.
	 * @param arguments flags
	 * @throws ParseException if a flag is wrong
	 * @throws IOException if the client cannot be started
	 * @throws InterruptedException if the thread is interrupted
	 */
	public static void main(String[] arguments) throws ParseException, IOException, InterruptedException {
		CommandLine flags = new DefaultParser().parse(options(), arguments);
		try (CallerClient client = new CallerClient()) {
			boolean sound = new BookingMain(flags, client).run();
			System.exit(sound ? 0 : 1);
		}
	}

	private boolean run() throws InterruptedException {
		long end = System.currentTimeMillis() + 1_000 * Long.parseLong(this.flags.getOptionValue("seconds", "10"));
		int number = 0;
		while (System.currentTimeMillis() < end) {
			Booking booking = new Booking(IdempotencyKeyGenerator.generate(System.currentTimeMillis()),
					"frame-" + number);
			this.bookings.add(booking);
			for (int repeat = 0; repeat < 2; repeat++) {
				send(booking, number + repeat);
			}
			number++;
			Thread.sleep(BOOKING_INTERVAL_MILLIS);
		}
		return printReport();
	}

	private void send(Booking booking, int number) {
		try {
			HttpClientResponse reply = this.client
				.postBooking(this.addresses.addressFor(number), this.flags.getOptionValue("key"),
						"/services/inguzanyo/bookings", booking.idempotencyKey, "{\"frame\":\"" + booking.frame + "\"}")
				.join();
			booking.recordResponse(reply);
		}
		catch (CompletionException ex) {
			booking.failedCallCount++;
		}
	}

	private boolean printReport() {
		Map<String, List<Integer>> ledger = fetchExecutedBookings();
		long doubled = this.bookings.stream().filter((each) -> executionsOf(ledger, each).size() > 1).count();
		long lost = this.bookings.stream()
			.filter((each) -> each.isCreated() && executionsOf(ledger, each).isEmpty())
			.count();
		long crossed = this.bookings.stream()
			.filter((each) -> each.hasForeignBookingNumber(executionsOf(ledger, each)))
			.count();
		long falseNotRun = this.bookings.stream()
			.filter((each) -> each.isReportedOnlyAsNotRun() && !executionsOf(ledger, each).isEmpty())
			.count();
		System.out.printf(
				"bookings %d, booked %d, may-have-run %d, not-run %d, broken %d, doubled %d, lost %d, crossed %d, "
						+ "false not-run %d%n",
				this.bookings.size(), this.bookings.stream().filter(Booking::isCreated).count(),
				this.bookings.stream().mapToInt((each) -> each.mayHaveRunCount).sum(),
				this.bookings.stream().mapToInt((each) -> each.notRunCount).sum(),
				this.bookings.stream().mapToInt((each) -> each.failedCallCount).sum(), doubled, lost, crossed,
				falseNotRun);
		return doubled + lost + crossed + falseNotRun == 0;
	}

	private Map<String, List<Integer>> fetchExecutedBookings() {
		HttpClientResponse reply = this.client
			.call(HttpClientRequest.get(this.flags.getOptionValue("plain"), "/bookings"))
			.join();
		Map<String, List<Integer>> numbers = new HashMap<>();
		for (JsonElement element : Json.read(reply.body(), JsonArray.class).orElseThrow()) {
			JsonObject row = element.getAsJsonObject();
			numbers.computeIfAbsent(row.get("key").getAsString(), (key) -> new ArrayList<>())
				.add(row.get("bookingNumber").getAsInt());
		}
		return numbers;
	}

	private static List<Integer> executionsOf(Map<String, List<Integer>> ledger, Booking booking) {
		return ledger.getOrDefault(booking.idempotencyKey, List.of());
	}

	private static Options options() {
		Options options = new Options();
		options.addOption(Option.builder().longOpt("addresses").hasArg().required().get());
		options.addOption(Option.builder().longOpt("key").hasArg().required().get());
		options.addOption(Option.builder().longOpt("plain").hasArg().required().get());
		options.addOption(Option.builder().longOpt("seconds").hasArg().get());
		return options;
	}

	/**
	 * One booking and what its caller was told.
	 */
	private static final class Booking {

		private final String idempotencyKey;

		private final String frame;

		private final List<Integer> bookingNumbers = new ArrayList<>();

		private int mayHaveRunCount;

		private int notRunCount;

		private int failedCallCount;

		private Booking(String idempotencyKey, String frame) {
			this.idempotencyKey = idempotencyKey;
			this.frame = frame;
		}

		private void recordResponse(HttpClientResponse reply) {
			if (reply.status() == STATUS_CREATED) {
				this.bookingNumbers
					.add(Json.read(reply.body(), JsonObject.class).orElseThrow().get("bookingNumber").getAsInt());
			}
			else if (reply.body().contains("\"not-run\"")) {
				this.notRunCount++;
			}
			else {
				this.mayHaveRunCount++;
			}
		}

		private boolean isCreated() {
			return !this.bookingNumbers.isEmpty();
		}

		private boolean hasForeignBookingNumber(List<Integer> ran) {
			return this.bookingNumbers.stream().anyMatch((number) -> !ran.contains(number));
		}

		private boolean isReportedOnlyAsNotRun() {
			return this.notRunCount > 0 && this.mayHaveRunCount == 0 && this.failedCallCount == 0 && !isCreated();
		}

	}

}
