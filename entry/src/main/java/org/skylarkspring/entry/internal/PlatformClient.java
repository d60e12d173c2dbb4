package org.skylarkspring.entry.internal;

import java.util.Optional;
import java.util.concurrent.CompletableFuture;

import com.google.gson.JsonElement;

import org.skylarkspring.core.model.Verdict;
import org.skylarkspring.entry.http.HttpCall;
import org.skylarkspring.entry.http.HttpCaller;
import org.skylarkspring.entry.http.HttpFailure;
import org.skylarkspring.entry.http.HttpReply;
import org.skylarkspring.entry.http.Json;

/**
 * Client of the platform's object API: versioned objects, conditional updates and
 * watches.
 */
final class PlatformClient implements ObjectStore {

	private static final long CALL_TIMEOUT_MILLIS = 2_000;

	private static final long WATCH_MARGIN_MILLIS = 5_000;

	private static final int STATUS_OK = 200;

	private static final int STATUS_NOT_FOUND = 404;

	private static final int STATUS_CONFLICT = 409;

	private final HttpCaller caller;

	private final String address;

	private final EntryMetrics metrics;

	PlatformClient(HttpCaller caller, String address, EntryMetrics metrics) {
		this.caller = caller;
		this.address = address;
		this.metrics = metrics;
	}

	@Override
	public CompletableFuture<PlatformResult> read(String key) {
		return call(HttpCall.get(this.address, path(key)), CALL_TIMEOUT_MILLIS, "store-read");
	}

	@Override
	public CompletableFuture<PlatformResult> watch(String key, long knownVersion, long waitMillis) {
		String path = path(key) + "?watch=" + knownVersion + "&waitMillis=" + waitMillis;
		return call(HttpCall.get(this.address, path), waitMillis + WATCH_MARGIN_MILLIS, "store-watch");
	}

	@Override
	public CompletableFuture<PlatformResult> write(String key, long expectedVersion, String value) {
		String path = path(key) + "?version=" + expectedVersion;
		return call(HttpCall.put(this.address, path, value), CALL_TIMEOUT_MILLIS, "store-write");
	}

	private CompletableFuture<PlatformResult> call(HttpCall call, long timeoutMillis, String kind) {
		return this.caller.call(call, timeoutMillis).handle((reply, failure) -> {
			int sentBytes = call.path().length() + call.body().map(String::length).orElse(0);
			this.metrics.controlMessage(kind, sentBytes + ((reply != null) ? reply.body().length() : 0));
			return (reply != null) ? result(reply) : failed(failure);
		});
	}

	private static PlatformResult failed(Throwable failure) {
		boolean notRun = failure instanceof HttpFailure known && known.verdict() == Verdict.NOT_RUN;
		return notRun ? new PlatformResult.Unavailable() : new PlatformResult.Lost();
	}

	private static PlatformResult result(HttpReply reply) {
		Optional<StoredValue> stored = Json.read(reply.body(), StoredValue.class);
		if (reply.status() == STATUS_NOT_FOUND) {
			return new PlatformResult.Absent();
		}
		if (reply.status() == STATUS_OK && stored.isPresent()) {
			StoredValue value = stored.get();
			boolean written = value.value() == null;
			return written ? new PlatformResult.Written(value.version())
					: new PlatformResult.Found(value.version(), value.value().toString());
		}
		if (reply.status() == STATUS_CONFLICT && stored.isPresent() && stored.get().value() != null) {
			return new PlatformResult.Found(stored.get().version(), stored.get().value().toString());
		}
		return new PlatformResult.Unavailable();
	}

	private static String path(String key) {
		return "/objects/" + key;
	}

	private record StoredValue(long version, JsonElement value) {
	}

}
