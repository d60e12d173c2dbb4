package org.skylarkspring.bench.load;

import java.io.IOException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.TreeMap;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.Semaphore;
import java.util.concurrent.TimeUnit;
import java.util.concurrent.atomic.AtomicInteger;

import com.google.gson.annotations.SerializedName;
import org.HdrHistogram.ConcurrentHistogram;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

import org.skylarkspring.entry.api.EngineMessages;
import org.skylarkspring.entry.http.HttpClientRequest;
import org.skylarkspring.entry.http.Json;

/**
 * Load tool: sends completion requests to entry instances, or directly to engine
 * stand-ins with {@code --direct}, and checks that each response consists of exactly the
 * tokens that belong to its prompt, complete, in order and without duplicates. Exits with
 * 1 if any response was cut off or had wrong tokens.
 */
public final class LoadMain {

	private static final long HIGHEST_TRACKABLE_MICROS = 600_000_000L;

	private static final int MAXIMUM_RECONNECTS = 5;

	private static final int SIGNIFICANT_DIGITS = 3;

	private static final double MICROS_PER_MILLI = 1_000;

	private final CommandLine flags;

	private final AddressList addresses;

	private final int requestCount;

	private final int maximumTokens;

	private final long durationLimitNanos;

	private final AtomicInteger reconnectCount = new AtomicInteger();

	private final AtomicInteger sentRequestCount = new AtomicInteger();

	private final Semaphore concurrencyPermits;

	private final Map<StreamedResponse.CheckResult, AtomicInteger> checkResultCounts = new TreeMap<>();

	private final ConcurrentHistogram firstTokenLatency = new ConcurrentHistogram(HIGHEST_TRACKABLE_MICROS,
			SIGNIFICANT_DIGITS);

	private final ConcurrentHistogram interTokenLatency = new ConcurrentHistogram(HIGHEST_TRACKABLE_MICROS,
			SIGNIFICANT_DIGITS);

	private final AtomicInteger receivedTokenCount = new AtomicInteger();

	private LoadMain(CommandLine flags) {
		this.flags = flags;
		this.addresses = new AddressList(flags.getOptionValue("addresses"));
		this.requestCount = Integer.parseInt(flags.getOptionValue("requests", "1000"));
		this.durationLimitNanos = TimeUnit.SECONDS.toNanos(Long.parseLong(flags.getOptionValue("seconds", "3600")));
		this.maximumTokens = Integer.parseInt(flags.getOptionValue("max-tokens", "2000"));
		this.concurrencyPermits = new Semaphore(Integer.parseInt(flags.getOptionValue("concurrency", "100")));
		for (StreamedResponse.CheckResult result : StreamedResponse.CheckResult.values()) {
			this.checkResultCounts.put(result, new AtomicInteger());
		}
	}

	/**
	 * Runs the load and prints counts and latency percentiles.
	 * @param arguments command-line flags
	 * @throws ParseException if a flag is unknown or a required one is missing
	 * @throws IOException if the client cannot be started
	 * @throws InterruptedException if the thread is interrupted
	 */
	public static void main(String[] arguments) throws ParseException, IOException, InterruptedException {
		CommandLine flags = new DefaultParser().parse(options(), arguments);
		boolean passed = new LoadMain(flags).run();
		System.exit(passed ? 0 : 1);
	}

	private boolean run() throws IOException, InterruptedException {
		int concurrency = this.concurrencyPermits.availablePermits();
		long started = System.nanoTime();
		try (CallerClient client = new CallerClient()) {
			for (int requestNumber = 0; requestNumber < this.requestCount
					&& System.nanoTime() - started < this.durationLimitNanos; requestNumber++) {
				this.concurrencyPermits.acquire();
				this.sentRequestCount.incrementAndGet();
				send(client, requestNumber, MAXIMUM_RECONNECTS);
			}
			this.concurrencyPermits.acquire(concurrency);
		}
		printReport((System.nanoTime() - started) / 1e9);
		return this.checkResultCounts.get(StreamedResponse.CheckResult.CUT).get() == 0
				&& this.checkResultCounts.get(StreamedResponse.CheckResult.WRONG_TOKENS).get() == 0;
	}

	// Retries on the next address after a failed connection, as the platform's load
	// balancer does.
	private void send(CallerClient client, int requestNumber, int reconnectsLeft) {
		String prompt = "load request " + requestNumber + " of " + this.flags.getOptionValue("name", "default");
		client.streamTokens(createRequest(requestNumber + MAXIMUM_RECONNECTS - reconnectsLeft, prompt))
			.thenAccept((response) -> {
				if (response.status() == 0 && response.tokens().isEmpty() && reconnectsLeft > 0) {
					this.reconnectCount.incrementAndGet();
					send(client, requestNumber, reconnectsLeft - 1);
					return;
				}
				this.checkResultCounts.get(response.check(prompt, this.maximumTokens)).incrementAndGet();
				recordLatencies(response);
				releasePermitAfterRetryDelay(response);
			});
	}

	// A refused caller sends its next request only after the retry delay in the response.
	private void releasePermitAfterRetryDelay(StreamedResponse response) {
		long waitMillis = Json.read(response.error(), ProblemBody.class).map(ProblemBody::retryAfterMillis).orElse(0L);
		CompletableFuture.delayedExecutor(waitMillis, TimeUnit.MILLISECONDS).execute(this.concurrencyPermits::release);
	}

	private HttpClientRequest createRequest(int addressIndex, String prompt) {
		String address = this.addresses.addressFor(addressIndex);
		if (this.flags.hasOption("direct")) {
			return HttpClientRequest.post(address, "/v1/completions",
					Json.write(new EngineMessages.GenerateRequest(prompt, this.maximumTokens, 0, 0, 0)));
		}
		String body = Json
			.write(new CompletionBody(this.flags.getOptionValue("service"), prompt, this.maximumTokens, true));
		String deadline = Optional.ofNullable(this.flags.getOptionValue("deadline-millis")).orElse("60000");
		return HttpClientRequest.post(address, "/v1/completions", body)
			.withHeader("Authorization", "Bearer " + this.flags.getOptionValue("key"))
			.withHeader("X-Deadline-Millis", deadline);
	}

	private void recordLatencies(StreamedResponse response) {
		List<Long> nanos = response.tokenArrivalNanos();
		this.receivedTokenCount.addAndGet(nanos.size());
		if (!nanos.isEmpty()) {
			this.firstTokenLatency.recordValue(nanos.get(0) / 1_000);
		}
		for (int index = 1; index < nanos.size(); index++) {
			this.interTokenLatency.recordValue((nanos.get(index) - nanos.get(index - 1)) / 1_000);
		}
	}

	private void printReport(double seconds) {
		System.out.printf("requests %d, reconnects %d, seconds %.1f, tokens %d, tokens/s %.0f%n",
				this.sentRequestCount.get(), this.reconnectCount.get(), seconds, this.receivedTokenCount.get(),
				this.receivedTokenCount.get() / seconds);
		this.checkResultCounts.forEach((result, count) -> System.out.printf("  %-14s %6d%n", result, count.get()));
		printPercentiles("first token", this.firstTokenLatency);
		printPercentiles("between tokens", this.interTokenLatency);
	}

	private static void printPercentiles(String name, ConcurrentHistogram histogram) {
		System.out.printf("  %-14s ms: p50 %.1f  p95 %.1f  p99 %.1f  max %.1f%n", name, percentileMillis(histogram, 50),
				percentileMillis(histogram, 95), percentileMillis(histogram, 99),
				histogram.getMaxValue() / MICROS_PER_MILLI);
	}

	private static double percentileMillis(ConcurrentHistogram histogram, double percentile) {
		return histogram.getValueAtPercentile(percentile) / MICROS_PER_MILLI;
	}

	private static Options options() {
		Options options = new Options();
		options.addOption(Option.builder().longOpt("addresses").hasArg().required().get());
		options.addOption(Option.builder().longOpt("service").hasArg().get());
		options.addOption(Option.builder().longOpt("key").hasArg().get());
		options.addOption(Option.builder().longOpt("requests").hasArg().get());
		options.addOption(Option.builder().longOpt("seconds").hasArg().get());
		options.addOption(Option.builder().longOpt("concurrency").hasArg().get());
		options.addOption(Option.builder().longOpt("max-tokens").hasArg().get());
		options.addOption(Option.builder().longOpt("deadline-millis").hasArg().get());
		options.addOption(Option.builder().longOpt("name").hasArg().get());
		options.addOption(Option.builder().longOpt("direct").get());
		return options;
	}

	private record ProblemBody(@SerializedName("retry_after_millis") long retryAfterMillis) {
	}

	private record CompletionBody(String model, String prompt, @SerializedName("max_tokens") int maxTokens,
			boolean stream) {
	}

}
