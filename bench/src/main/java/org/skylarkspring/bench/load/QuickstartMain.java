package org.skylarkspring.bench.load;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.CompletionException;
import java.util.function.BooleanSupplier;
import java.util.stream.Collectors;
import java.util.stream.Stream;

import com.google.gson.JsonArray;
import com.google.gson.JsonObject;

import org.skylarkspring.cli.CommandLineTool;
import org.skylarkspring.cli.ExitCode;
import org.skylarkspring.entry.http.HttpClientRequest;
import org.skylarkspring.entry.http.HttpClientResponse;
import org.skylarkspring.entry.http.Json;

/**
 * End-to-end check against the stand-in processes that {@code bin/quickstart} starts:
 * publishes the example configuration, requests completions of the example prompts
 * through both entry instances, and sends one booking twice with the same idempotency
 * key. Exits with 0 if all completions were complete and correct and the booking was
 * executed once; otherwise prints the failed step and exits with 1.
 */
public final class QuickstartMain {

	private static final List<String> CALLER_ADDRESSES = List.of("127.0.0.1:18081", "127.0.0.1:18082");

	private static final String CONTROL_ADDRESS = "127.0.0.1:18091";

	private static final String PLATFORM_ADDRESS = "127.0.0.1:18070";

	private static final String PLAIN_ADDRESS = "127.0.0.1:18063";

	private static final long START_TIMEOUT_MILLIS = 30_000;

	private static final long POLL_INTERVAL_MILLIS = 100;

	private static final int MAXIMUM_TOKENS = 60;

	private final Path exampleFolder;

	private final CallerClient client;

	private QuickstartMain(Path exampleFolder, CallerClient client) {
		this.exampleFolder = exampleFolder;
		this.client = client;
	}

	/**
	 * Runs all steps.
	 * @param arguments path of the folder with the example files
	 * @throws IOException if the examples cannot be read
	 * @throws InterruptedException if the thread is interrupted
	 */
	public static void main(String[] arguments) throws IOException, InterruptedException {
		try (CallerClient client = new CallerClient()) {
			new QuickstartMain(Path.of(arguments[0]), client).run();
			System.out
				.println("quickstart passed: all completions were complete and correct; the booking was executed once");
		}
		catch (StepFailedException ex) {
			System.err.println("quickstart: " + ex.getMessage());
			System.exit(1);
		}
		System.exit(0);
	}

	private void run() throws IOException, InterruptedException {
		awaitStep("platform lists the instances", this::publishInstances);
		awaitStep("configuration is published", this::publishConfiguration);
		awaitStep("both entry instances are ready", () -> CALLER_ADDRESSES.stream().allMatch(this::isReady));
		verifyCompletions();
		verifyIdempotentBooking();
	}

	private void verifyCompletions() throws IOException {
		List<String> lines = Files.readAllLines(this.exampleFolder.resolve("prompts.txt"));
		int promptNumber = 0;
		for (String line : lines) {
			String[] fields = line.split("\\|", 4);
			String address = CALLER_ADDRESSES.get(promptNumber % CALLER_ADDRESSES.size());
			StreamedResponse response = this.client
				.requestCompletion(address, fields[1], fields[2], fields[3], MAXIMUM_TOKENS)
				.join();
			StreamedResponse.CheckResult result = response.check(fields[3], MAXIMUM_TOKENS);
			System.out.printf("%-10s %-18s via %s: %3d tokens, %s  \"%s\"%n", fields[0], fields[2], address,
					response.tokens().size(), result, fields[3]);
			if (result != StreamedResponse.CheckResult.WHOLE) {
				throw new StepFailedException(
						"completion failed: HTTP status " + response.status() + " " + response.error());
			}
			promptNumber++;
		}
	}

	private void verifyIdempotentBooking() {
		String key = IdempotencyKeyGenerator.generate(System.currentTimeMillis());
		String body = "{\"frame\":\"walker-17\",\"household\":\"Kimironko 4\"}";
		String path = "/services/inguzanyo/bookings";
		HttpClientResponse first = this.client.postBooking(CALLER_ADDRESSES.get(0), "frames-key", path, key, body)
			.join();
		HttpClientResponse repeat = this.client.postBooking(CALLER_ADDRESSES.get(1), "frames-key", path, key, body)
			.join();
		System.out.printf("booking: status %d %s; repeat through the other instance: status %d %s%n", first.status(),
				first.body(), repeat.status(), repeat.body());
		JsonArray executedBookings = Json
			.read(this.client.call(HttpClientRequest.get(PLAIN_ADDRESS, "/bookings")).join().body(), JsonArray.class)
			.orElseThrow();
		boolean passed = first.status() == 201 && repeat.status() == 201 && first.body().equals(repeat.body())
				&& executedBookings.size() == 1;
		if (!passed) {
			throw new StepFailedException(
					"expected two identical responses with status 201 and one executed booking; executed bookings: "
							+ executedBookings.size());
		}
	}

	private boolean publishInstances() {
		List<Map<String, String>> instances = Stream
			.of(instanceRecord("entry-1", "ENTRY", "", "ar-centro-a", "127.0.0.1:18091"),
					instanceRecord("entry-2", "ENTRY", "", "kigali-a", "127.0.0.1:18092"),
					instanceRecord("engine-1", "BACKEND", "modelo-editorial", "ar-centro-a", "127.0.0.1:18061"),
					instanceRecord("engine-2", "BACKEND", "inyigisho", "kigali-a", "127.0.0.1:18062"),
					instanceRecord("plain-1", "BACKEND", "inguzanyo", "kigali-a", PLAIN_ADDRESS))
			.toList();
		HttpClientRequest request = HttpClientRequest.put(PLATFORM_ADDRESS, "/objects/instances?version=0",
				Json.write(instances));
		return Set.of(200, 409).contains(this.client.call(request).join().status());
	}

	private boolean publishConfiguration() {
		CommandLineTool tool = new CommandLineTool(System.getenv(), System.out, System.err);
		return tool.run("publish", this.exampleFolder.toString(), "--control-address",
				CONTROL_ADDRESS) == ExitCode.DONE;
	}

	private boolean isReady(String address) {
		return this.client.call(HttpClientRequest.get(address, "/readyz")).join().status() == 200;
	}

	private static Map<String, String> instanceRecord(String instanceId, String role, String pool, String dataCentre,
			String address) {
		JsonObject properties = new JsonObject();
		properties.addProperty("instanceId", instanceId);
		properties.addProperty("role", role);
		properties.addProperty("pool", pool);
		properties.addProperty("dataCentre", dataCentre);
		properties.addProperty("address", address);
		properties.addProperty("state", "LIVE");
		return properties.entrySet()
			.stream()
			.collect(Collectors.toMap(Map.Entry::getKey, (e) -> e.getValue().getAsString()));
	}

	private static void awaitStep(String name, BooleanSupplier attempt) throws InterruptedException {
		long deadline = System.currentTimeMillis() + START_TIMEOUT_MILLIS;
		while (!succeeds(attempt)) {
			if (System.currentTimeMillis() > deadline) {
				throw new StepFailedException(
						"step '" + name + "' did not succeed within " + START_TIMEOUT_MILLIS + " ms");
			}
			Thread.sleep(POLL_INTERVAL_MILLIS);
		}
		System.out.println("ok: " + name);
	}

	private static boolean succeeds(BooleanSupplier attempt) {
		try {
			return attempt.getAsBoolean();
		}
		catch (CompletionException ex) {
			return false;
		}
	}

	/**
	 * Thrown if a step of the quickstart failed.
	 */
	@SuppressWarnings("serial")
	private static final class StepFailedException extends RuntimeException {

		private StepFailedException(String message) {
			super(message);
		}

	}

}
