package org.skylarkspring.bench.standin;

import java.util.ArrayDeque;
import java.util.Deque;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.concurrent.TimeUnit;

import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;

import org.skylarkspring.bench.model.EngineJob;
import org.skylarkspring.bench.model.EngineModel;
import org.skylarkspring.bench.model.EngineProfile;
import org.skylarkspring.bench.model.EngineStep;
import org.skylarkspring.core.model.LoadReport;
import org.skylarkspring.entry.api.EngineMessages;
import org.skylarkspring.entry.http.Json;

/**
 * HTTP stand-in for an inference engine, based on {@link EngineModel}. Load reports are
 * served with a delay, and some cache events are lost. Faults are injected with
 * {@code POST /fault?mode=...}: {@code mode=cold} makes the engine cold, {@code mode=cut}
 * closes the connections of all streams once, and {@code mode=stall&millis=N} pauses
 * decoding for N milliseconds.
 */
public final class EngineStandIn implements HttpHandler {

	private static final long REPORT_LAG_MILLIS = 200;

	/** Time after which a generation without a connection is cancelled. */
	private static final long RESUME_GRACE_NANOS = TimeUnit.SECONDS.toNanos(3);

	private static final long MODEL_LOAD_MILLIS = 3_000;

	private static final int CHARACTERS_PER_TOKEN = 4;

	private final EngineModel model;

	private final Map<String, EngineStream> streams = new HashMap<>();

	private final Deque<LoadReport> reportHistory = new ArrayDeque<>();

	private final boolean checksFencingNumber;

	private long lastGenerationNumber;

	private long highestFencingNumber;

	private long stalledUntilNanos;

	private EngineStandIn(String serverId, EngineProfile profile, boolean warm, boolean checksFencingNumber) {
		long incarnation = System.currentTimeMillis();
		this.model = new EngineModel(serverId, profile, incarnation, incarnation, warm);
		this.checksFencingNumber = checksFencingNumber;
	}

	/**
	 * Starts the stand-in.
	 * @param serverId identifier of the server
	 * @param address host and port to listen on
	 * @param profile speed and memory of the engine
	 * @param warm whether the engine starts warm
	 * @param checksFencingNumber whether orders to load a model version are rejected if
	 * their fencing number is lower than the highest one received
	 * @return the running server
	 */
	public static Undertow start(String serverId, String address, EngineProfile profile, boolean warm,
			boolean checksFencingNumber) {
		EngineStandIn standIn = new EngineStandIn(serverId, profile, warm, checksFencingNumber);
		Thread decoder = new Thread(standIn::runDecodeLoop, "decoder");
		decoder.setDaemon(true);
		decoder.start();
		return StandInServer.start(address, standIn);
	}

	@Override
	public void handleRequest(HttpServerExchange exchange) {
		String path = exchange.getRequestPath();
		if (path.equals("/v1/completions")) {
			exchange.getRequestReceiver().receiveFullString(this::startGeneration);
		}
		else if (path.startsWith("/v1/generations/")) {
			resumeGeneration(exchange, path.substring("/v1/generations/".length()));
		}
		else if (path.equals("/load")) {
			sendLoad(exchange);
		}
		else if (path.equals("/orders")) {
			handleLoadCommand(exchange);
		}
		else if (path.equals("/fault")) {
			injectFault(exchange);
		}
		else {
			StandInServer.sendJson(exchange, 404, Map.of());
		}
	}

	private synchronized void startGeneration(HttpServerExchange exchange, String body) {
		EngineMessages.GenerateRequest request = Json.read(body, EngineMessages.GenerateRequest.class).orElseThrow();
		this.lastGenerationNumber++;
		String generation = "g" + this.model.createReport(0).incarnation() + "-" + this.lastGenerationNumber;
		int tokens = DeterministicCompletion.tokenCount(request.prompt(), request.maxTokens());
		EngineStream stream = new EngineStream(generation, request.prompt());
		this.streams.put(generation, stream);
		this.model.submit(new EngineJob(generation, request.prompt().length() / CHARACTERS_PER_TOKEN + 1,
				request.prefixHash(), request.prefixTokens(), tokens, request.priority()));
		attachStream(exchange, stream, 0);
		notifyAll();
	}

	private synchronized void resumeGeneration(HttpServerExchange exchange, String generation) {
		EngineStream stream = this.streams.get(generation);
		if (stream == null) {
			StandInServer.sendJson(exchange, 404, Map.of());
			return;
		}
		attachStream(exchange, stream, (int) StandInServer.longQueryParameter(exchange, "offset", 0));
	}

	private void attachStream(HttpServerExchange exchange, EngineStream stream, int offset) {
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/event-stream");
		exchange.dispatch(SameThreadExecutor.INSTANCE, () -> stream.attach(exchange, offset));
	}

	private void runDecodeLoop() {
		try {
			while (true) {
				decodeOnce();
			}
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

	private void decodeOnce() throws InterruptedException {
		long started = System.nanoTime();
		EngineStep step;
		synchronized (this) {
			while (!this.model.hasWork()) {
				recordReport();
				wait(REPORT_LAG_MILLIS);
			}
			step = this.model.step();
		}
		long stalledNanos = Math.max(0, this.stalledUntilNanos - started);
		long endNanos = started + stalledNanos + (long) (step.durationMillis() * 1e6);
		TimeUnit.NANOSECONDS.sleep(endNanos - System.nanoTime());
		synchronized (this) {
			step.tokens().forEach(this::appendToken);
			cancelAbandonedGenerations();
			recordReport();
		}
		if (this.model.hasFailed()) {
			Runtime.getRuntime().halt(1);
		}
	}

	private void appendToken(EngineStep.ProducedToken token) {
		EngineStream stream = this.streams.get(token.jobId());
		if (stream != null) {
			stream.appendToken(token.last());
		}
	}

	private void cancelAbandonedGenerations() {
		long now = System.nanoTime();
		List<EngineStream> abandoned = this.streams.values()
			.stream()
			.filter((stream) -> stream.detachedNanos(now) > RESUME_GRACE_NANOS)
			.toList();
		abandoned.forEach((stream) -> {
			this.streams.remove(stream.generation());
			this.model.cancel(stream.generation());
		});
	}

	private void recordReport() {
		long now = System.currentTimeMillis();
		this.reportHistory.addLast(this.model.createReport(now));
		while (this.reportHistory.size() > 1 && isSecondOldestReportOldEnough(now)) {
			this.reportHistory.removeFirst();
		}
	}

	private boolean isSecondOldestReportOldEnough(long now) {
		LoadReport secondOldest = this.reportHistory.stream().skip(1).findFirst().orElseThrow();
		return secondOldest.reportedAtMillis() <= now - REPORT_LAG_MILLIS;
	}

	private synchronized void sendLoad(HttpServerExchange exchange) {
		LoadReport report = this.reportHistory.isEmpty() ? this.model.createReport(System.currentTimeMillis())
				: this.reportHistory.getFirst();
		List<EngineMessages.CacheEvent> cacheEvents = this.model
			.cacheChangesAfter(StandInServer.longQueryParameter(exchange, "cacheAfter", 0))
			.stream()
			.map((change) -> new EngineMessages.CacheEvent(change.sequence(), change.prefixHash(), change.cached()))
			.toList();
		StandInServer.sendJson(exchange, 200,
				new EngineMessages.LoadResponse(report.incarnation(), report.reportedAtMillis(), report.running(),
						report.waiting(), report.usedBlocks(), report.totalBlocks(), report.blockTokens(),
						report.stepMillis(), report.preemptions(), report.modelVersion(), report.loading(),
						cacheEvents));
	}

	private synchronized void handleLoadCommand(HttpServerExchange exchange) {
		long fencingNumber = StandInServer.longQueryParameter(exchange, "fencingNumber", 0);
		if (this.checksFencingNumber && fencingNumber < this.highestFencingNumber) {
			StandInServer.sendJson(exchange, 412, Map.of("highestFencingNumber", this.highestFencingNumber));
			return;
		}
		this.highestFencingNumber = Math.max(this.highestFencingNumber, fencingNumber);
		StandInServer.queryParameter(exchange, "modelVersion")
			.ifPresent(
					(version) -> this.model.loadModelVersion(version, System.currentTimeMillis(), MODEL_LOAD_MILLIS));
		StandInServer.sendJson(exchange, 200, Map.of("fencingNumber", this.highestFencingNumber));
	}

	private synchronized void injectFault(HttpServerExchange exchange) {
		switch (StandInServer.queryParameter(exchange, "mode").orElse("none")) {
			case "cold" -> this.model.resetToCold();
			case "cut" -> this.streams.values().forEach(EngineStream::disconnect);
			case "stall" -> stallDecoding(StandInServer.longQueryParameter(exchange, "millis", 0));
			default -> {
			}
		}
		StandInServer.sendJson(exchange, 200, Map.of());
	}

	private void stallDecoding(long millis) {
		this.stalledUntilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
	}

}
