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
 * Checks that each booking is executed at most once. Sends bookings continuously, repeats
 * each one with the same idempotency key through another entry instance, and compares the
 * responses with the bookings that the plain service stand-in executed. Exits with 1 if a
 * booking was executed more than once, was confirmed but not executed, was confirmed with
 * the number of another booking, or was executed although the caller received only the
 * verdict {@code not-run}.
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
	 * Runs the check and prints a summary.
	 * @param arguments command-line flags
	 * @throws ParseException if a flag is unknown or a required one is missing
	 * @throws IOException if the client cannot be started
	 * @throws InterruptedException if the thread is interrupted
	 */
	public static void main(String[] arguments) throws ParseException, IOException, InterruptedException {
		CommandLine flags = new DefaultParser().parse(options(), arguments);
		try (CallerClient client = new CallerClient()) {
			boolean passed = new BookingMain(flags, client).run();
			System.exit(passed ? 0 : 1);
		}
	}

	private boolean run() throws InterruptedException {
		long end = System.currentTimeMillis() + 1_000 * Long.parseLong(this.flags.getOptionValue("seconds", "10"));
		int bookingIndex = 0;
		while (System.currentTimeMillis() < end) {
			Booking booking = new Booking(IdempotencyKeyGenerator.generate(System.currentTimeMillis()),
					"frame-" + bookingIndex);
			this.bookings.add(booking);
			for (int attempt = 0; attempt < 2; attempt++) {
				send(booking, bookingIndex + attempt);
			}
			bookingIndex++;
			Thread.sleep(BOOKING_INTERVAL_MILLIS);
		}
		return printReport();
	}

	private void send(Booking booking, int addressIndex) {
		try {
			HttpClientResponse response = this.client
				.postBooking(this.addresses.addressFor(addressIndex), this.flags.getOptionValue("key"),
						"/services/inguzanyo/bookings", booking.idempotencyKey, "{\"frame\":\"" + booking.frame + "\"}")
				.join();
			booking.recordResponse(response);
		}
		catch (CompletionException ex) {
			booking.failedCallCount++;
		}
	}

	private boolean printReport() {
		Map<String, List<Integer>> executedBookings = fetchExecutedBookings();
		long duplicated = this.bookings.stream()
			.filter((booking) -> executionsOf(executedBookings, booking).size() > 1)
			.count();
		long lost = this.bookings.stream()
			.filter((booking) -> booking.isCreated() && executionsOf(executedBookings, booking).isEmpty())
			.count();
		long wrongNumber = this.bookings.stream()
			.filter((booking) -> booking.hasForeignBookingNumber(executionsOf(executedBookings, booking)))
			.count();
		long falseNotRun = this.bookings.stream()
			.filter((booking) -> booking.isReportedOnlyAsNotRun() && !executionsOf(executedBookings, booking).isEmpty())
			.count();
		System.out.printf(
				"bookings %d, created %d, may-have-run %d, not-run %d, failed calls %d, duplicated %d, lost %d, "
						+ "wrong number %d, false not-run %d%n",
				this.bookings.size(), this.bookings.stream().filter(Booking::isCreated).count(),
				this.bookings.stream().mapToInt((booking) -> booking.mayHaveRunCount).sum(),
				this.bookings.stream().mapToInt((booking) -> booking.notRunCount).sum(),
				this.bookings.stream().mapToInt((booking) -> booking.failedCallCount).sum(), duplicated, lost,
				wrongNumber, falseNotRun);
		return duplicated + lost + wrongNumber + falseNotRun == 0;
	}

	private Map<String, List<Integer>> fetchExecutedBookings() {
		HttpClientResponse response = this.client
			.call(HttpClientRequest.get(this.flags.getOptionValue("plain"), "/bookings"))
			.join();
		Map<String, List<Integer>> numbers = new HashMap<>();
		for (JsonElement element : Json.read(response.body(), JsonArray.class).orElseThrow()) {
			JsonObject executedBooking = element.getAsJsonObject();
			numbers.computeIfAbsent(executedBooking.get("key").getAsString(), (key) -> new ArrayList<>())
				.add(executedBooking.get("bookingNumber").getAsInt());
		}
		return numbers;
	}

	private static List<Integer> executionsOf(Map<String, List<Integer>> executedBookings, Booking booking) {
		return executedBookings.getOrDefault(booking.idempotencyKey, List.of());
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
	 * One booking and the responses that its caller received.
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

		private void recordResponse(HttpClientResponse response) {
			if (response.status() == STATUS_CREATED) {
				this.bookingNumbers
					.add(Json.read(response.body(), JsonObject.class).orElseThrow().get("bookingNumber").getAsInt());
			}
			else if (response.body().contains("\"not-run\"")) {
				this.notRunCount++;
			}
			else {
				this.mayHaveRunCount++;
			}
		}

		private boolean isCreated() {
			return !this.bookingNumbers.isEmpty();
		}

		private boolean hasForeignBookingNumber(List<Integer> executedNumbers) {
			return this.bookingNumbers.stream().anyMatch((bookingNumber) -> !executedNumbers.contains(bookingNumber));
		}

		private boolean isReportedOnlyAsNotRun() {
			return this.notRunCount > 0 && this.mayHaveRunCount == 0 && this.failedCallCount == 0 && !isCreated();
		}

	}

}
