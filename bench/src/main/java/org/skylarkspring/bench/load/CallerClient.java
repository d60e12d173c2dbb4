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
 * A caller: sends completions and bookings and reads token streams.
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
	 * Creates a caller with threads of its own.
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
	 * Asks for a completion and reads its stream.
	 * @param address address of an entry instance
	 * @param key bearer key of the workspace
	 * @param service name of the service
	 * @param prompt the prompt
	 * @param maximumTokens limit of the answer
	 * @return the answer; never fails
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
	 * Sends a call and reads the response as a stream of tokens.
	 * @param call the call
	 * @return the answer; never fails
	 */
	public CompletableFuture<StreamedResponse> streamTokens(HttpClientRequest call) {
		CompletableFuture<StreamedResponse> answer = new CompletableFuture<>();
		XnioIoThread ioThread = this.worker.getIoThread();
		ioThread
			.execute(() -> new HttpClientExchange(this.connections, ioThread, call, new StreamReader(answer)).start());
		return answer;
	}

	/**
	 * Books through a plain service.
	 * @param address address of an entry instance
	 * @param key bearer key of the workspace
	 * @param path path of the service
	 * @param idempotencyKey key of the booking
	 * @param body the booking
	 * @return the reply
	 */
	public CompletableFuture<HttpClientResponse> postBooking(String address, String key, String path,
			String idempotencyKey, String body) {
		HttpClientRequest call = new HttpClientRequest(address, new HttpString("POST"), path, Map.of("Content-Type",
				"application/json", "Idempotency-Key", idempotencyKey, "Authorization", "Bearer " + key),
				Optional.of(body), false);
		return this.httpClient.send(call, CALL_TIMEOUT_MILLIS);
	}

	/**
	 * Sends any call and reads the whole response.
	 * @param call the call
	 * @return the reply
	 */
	public CompletableFuture<HttpClientResponse> call(HttpClientRequest call) {
		return this.httpClient.send(call, CALL_TIMEOUT_MILLIS);
	}

	@Override
	public void close() {
		this.worker.shutdownNow();
	}

	/**
	 * Collects the tokens of one stream.
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
