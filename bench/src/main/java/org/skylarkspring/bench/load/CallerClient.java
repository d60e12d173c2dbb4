package org.skylarkspring.bench.load;

import java.io.IOException;
import java.nio.ByteBuffer;
import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import com.google.gson.JsonObject;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.util.HttpString;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioIoThread;
import org.xnio.XnioWorker;

import org.skylarkspring.core.model.Verdict;
import org.skylarkspring.entry.http.AsyncHttpClient;
import org.skylarkspring.entry.http.HttpClientExchange;
import org.skylarkspring.entry.http.HttpClientRequest;
import org.skylarkspring.entry.http.HttpClientResponse;
import org.skylarkspring.entry.http.HttpConnectionPool;
import org.skylarkspring.entry.http.Json;
import org.skylarkspring.entry.http.SseParser;

/**
 * HTTP client of a caller: requests completions, reads their token streams, and posts
 * bookings.
 */
public final class CallerClient implements AutoCloseable {

	private static final int IO_THREADS = 2;

	private static final int BUFFER_BYTES = 16 * 1024;

	private static final long CALL_TIMEOUT_MILLIS = 30_000;

	private final XnioWorker worker;

	private final HttpConnectionPool connections = new HttpConnectionPool(
			new DefaultByteBufferPool(true, BUFFER_BYTES));

	private final AsyncHttpClient httpClient;

	/**
	 * Creates a client with its own I/O threads.
	 * @throws IOException if the threads cannot be started
	 */
	public CallerClient() throws IOException {
		this.worker = Xnio.getInstance()
			.createWorker(OptionMap.builder()
				.set(Options.WORKER_IO_THREADS, IO_THREADS)
				.set(Options.THREAD_DAEMON, true)
				.set(Options.TCP_NODELAY, true)
				.getMap());
		this.httpClient = new AsyncHttpClient(this.worker, this.connections);
	}

	/**
	 * Requests a streamed completion and collects its tokens.
	 * @param address address of an entry instance
	 * @param key bearer key of the workspace
	 * @param service name of the service
	 * @param prompt the prompt
	 * @param maximumTokens maximum number of tokens to generate
	 * @return the response; completes normally also if the request fails
	 */
	public CompletableFuture<StreamedResponse> requestCompletion(String address, String key, String service,
			String prompt, int maximumTokens) {
		JsonObject body = new JsonObject();
		body.addProperty("model", service);
		body.addProperty("prompt", prompt);
		body.addProperty("max_tokens", maximumTokens);
		body.addProperty("stream", true);
		return streamTokens(HttpClientRequest.post(address, "/v1/completions", body.toString())
			.withHeader("Authorization", "Bearer " + key));
	}

	/**
	 * Sends a request and collects the tokens of the streamed response.
	 * @param request the request
	 * @return the response; completes normally also if the request fails
	 */
	public CompletableFuture<StreamedResponse> streamTokens(HttpClientRequest request) {
		CompletableFuture<StreamedResponse> response = new CompletableFuture<>();
		XnioIoThread ioThread = this.worker.getIoThread();
		ioThread.execute(
				() -> new HttpClientExchange(this.connections, ioThread, request, new StreamReader(response)).start());
		return response;
	}

	/**
	 * Posts a booking to a plain service.
	 * @param address address of an entry instance
	 * @param key bearer key of the workspace
	 * @param path path of the service
	 * @param idempotencyKey idempotency key of the booking
	 * @param body the booking as JSON
	 * @return the response
	 */
	public CompletableFuture<HttpClientResponse> postBooking(String address, String key, String path,
			String idempotencyKey, String body) {
		HttpClientRequest request = new HttpClientRequest(address, new HttpString("POST"), path, Map.of("Content-Type",
				"application/json", "Idempotency-Key", idempotencyKey, "Authorization", "Bearer " + key),
				Optional.of(body), false);
		return this.httpClient.send(request, CALL_TIMEOUT_MILLIS);
	}

	/**
	 * Sends a request and reads the complete response.
	 * @param request the request
	 * @return the response
	 */
	public CompletableFuture<HttpClientResponse> call(HttpClientRequest request) {
		return this.httpClient.send(request, CALL_TIMEOUT_MILLIS);
	}

	@Override
	public void close() {
		this.worker.shutdownNow();
	}

	/**
	 * Collects the tokens of one stream and the time at which each arrived.
	 */
	private static final class StreamReader implements HttpClientExchange.Listener {

		private static final String END_MARKER = "[DONE]";

		private final CompletableFuture<StreamedResponse> response;

		private final SseParser parser = new SseParser(this::onEvent);

		private final List<String> tokens = new ArrayList<>();

		private final List<Long> tokenArrivalNanos = new ArrayList<>();

		private final StringBuilder errorBody = new StringBuilder();

		private final long startedNanos = System.nanoTime();

		private int status;

		private boolean endMarkerReceived;

		private StreamReader(CompletableFuture<StreamedResponse> response) {
			this.response = response;
		}

		@Override
		public void onResponseHeaders(int responseStatus, String contentType) {
			this.status = responseStatus;
		}

		@Override
		public void onChunk(ByteBuffer chunk) {
			if (this.status == 200) {
				this.parser.feed(chunk);
				return;
			}
			this.errorBody.append(StandardCharsets.UTF_8.decode(chunk));
		}

		@Override
		public void onComplete() {
			completeResponse();
		}

		@Override
		public void onFailure(Verdict verdict, String message) {
			this.errorBody.append(message);
			completeResponse();
		}

		// Entry instances send "choices" and the end marker, engine stand-ins "text" and
		// "done". Any other event is recorded as an error, such as a problem document.
		private void onEvent(String data) {
			if (data.equals(END_MARKER)) {
				this.endMarkerReceived = true;
				return;
			}
			JsonObject event = Json.read(data, JsonObject.class).orElseGet(JsonObject::new);
			if (event.has("choices")) {
				recordToken(event.getAsJsonArray("choices").get(0).getAsJsonObject().get("text").getAsString());
			}
			else if (event.has("text")) {
				recordToken(event.get("text").getAsString());
			}
			else if (event.has("done")) {
				this.endMarkerReceived = true;
			}
			else {
				this.errorBody.append(data);
			}
		}

		private void recordToken(String text) {
			this.tokens.add(text);
			this.tokenArrivalNanos.add(System.nanoTime() - this.startedNanos);
		}

		private void completeResponse() {
			this.response.complete(new StreamedResponse(this.status, List.copyOf(this.tokens),
					List.copyOf(this.tokenArrivalNanos), this.endMarkerReceived, this.errorBody.toString()));
		}

	}

}
