package org.skylarkspring.entry.internal;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import com.google.gson.JsonElement;

import org.skylarkspring.core.model.Verdict;
import org.skylarkspring.entry.http.AsyncHttpClient;
import org.skylarkspring.entry.http.HttpClientException;
import org.skylarkspring.entry.http.HttpClientRequest;
import org.skylarkspring.entry.http.HttpClientResponse;
import org.skylarkspring.entry.http.Json;

/**
 * Client of the platform's object API: versioned objects, conditional updates and
 * watches.
 */
final class PlatformClient implements ObjectStore {

	private static final long REQUEST_TIMEOUT_MILLIS = 2_000;

	private static final long WATCH_TIMEOUT_MARGIN_MILLIS = 5_000;

	private static final int STATUS_OK = 200;

	private static final int STATUS_NOT_FOUND = 404;

	private static final int STATUS_CONFLICT = 409;

	private final AsyncHttpClient httpClient;

	private final String address;

	private final EntryMetrics metrics;

	PlatformClient(AsyncHttpClient httpClient, String address, EntryMetrics metrics) {
		this.httpClient = httpClient;
		this.address = address;
		this.metrics = metrics;
	}

	@Override
	public CompletableFuture<ObjectStoreResult> read(String key) {
		return send(HttpClientRequest.get(this.address, objectPath(key)), REQUEST_TIMEOUT_MILLIS, "store-read");
	}

	@Override
	public CompletableFuture<ObjectStoreResult> watch(String key, long knownVersion, long waitMillis) {
		String path = objectPath(key) + "?watch=" + knownVersion + "&waitMillis=" + waitMillis;
		return send(HttpClientRequest.get(this.address, path), waitMillis + WATCH_TIMEOUT_MARGIN_MILLIS, "store-watch");
	}

	@Override
	public CompletableFuture<ObjectStoreResult> write(String key, long expectedVersion, String value) {
		String path = objectPath(key) + "?version=" + expectedVersion;
		return send(HttpClientRequest.put(this.address, path, value), REQUEST_TIMEOUT_MILLIS, "store-write");
	}

	private CompletableFuture<ObjectStoreResult> send(HttpClientRequest request, long timeoutMillis, String kind) {
		return this.httpClient.send(request, timeoutMillis).handle((response, failure) -> {
			int sentBytes = request.path().length() + request.body().map(String::length).orElse(0);
			this.metrics.recordControlMessage(kind, sentBytes + ((response != null) ? response.body().length() : 0));
			return (response != null) ? toResult(response) : toFailureResult(failure);
		});
	}

	private static ObjectStoreResult toFailureResult(Throwable failure) {
		boolean notRun = failure instanceof HttpClientException httpFailure && httpFailure.verdict() == Verdict.NOT_RUN;
		return notRun ? new ObjectStoreResult.Unavailable() : new ObjectStoreResult.ResponseLost();
	}

	private static ObjectStoreResult toResult(HttpClientResponse response) {
		Optional<ObjectResponse> object = Json.read(response.body(), ObjectResponse.class);
		if (response.status() == STATUS_NOT_FOUND) {
			return new ObjectStoreResult.NotFound();
		}
		if (response.status() == STATUS_OK && object.isPresent()) {
			ObjectResponse value = object.get();
			boolean written = value.value() == null;
			return written ? new ObjectStoreResult.Written(value.version())
					: new ObjectStoreResult.Found(value.version(), value.value().toString());
		}
		if (response.status() == STATUS_CONFLICT && object.isPresent() && object.get().value() != null) {
			return new ObjectStoreResult.Found(object.get().version(), object.get().value().toString());
		}
		return new ObjectStoreResult.Unavailable();
	}

	private static String objectPath(String key) {
		return "/objects/" + key;
	}

	private record ObjectResponse(long version, JsonElement value) {
	}

}
