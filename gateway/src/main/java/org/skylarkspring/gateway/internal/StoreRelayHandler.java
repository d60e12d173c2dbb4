package org.skylarkspring.gateway.internal;

import java.nio.charset.StandardCharsets;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import com.google.gson.Gson;
import com.google.gson.JsonSyntaxException;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.SameThreadExecutor;
import org.xnio.IoUtils;

import org.skylarkspring.gateway.model.ObjectKind;
import org.skylarkspring.gateway.model.StoreResult;

/**
 * Answers other instances with what this one has read from the platform's store, so that
 * not each of them has to ask the store.
 */
final class StoreRelayHandler {

	static final String PATH = "/peer-store";

	private static final int MAXIMUM_REQUEST_BYTES = 4 * 1024;

	private static final int BAD_REQUEST = 400;

	private final Gson gson = new Gson();

	private final Scheduler scheduler;

	private final DecisionLog log;

	private final String incarnation;

	private final Map<ObjectKind, WatchCache> caches = new EnumMap<>(ObjectKind.class);

	private final ConfigurationPoller configurationPoller;

	private final Consumer<PeerLoadReport> reportConsumer;

	StoreRelayHandler(String instanceId, Scheduler scheduler, DecisionLog log, ConfigurationPoller configurationPoller,
			Consumer<PeerLoadReport> reportConsumer) {
		this.scheduler = scheduler;
		this.log = log;
		this.incarnation = instanceId + "@" + scheduler.epochMillis();
		this.configurationPoller = configurationPoller;
		this.reportConsumer = reportConsumer;
	}

	/**
	 * Returns the copy of a kind, to be kept up to date by whoever follows the kind.
	 * @param kind kind of objects
	 * @return the copy
	 */
	WatchCache cacheFor(ObjectKind kind) {
		return this.caches.computeIfAbsent(kind, (known) -> new WatchCache(this.scheduler));
	}

	void handleRequest(HttpServerExchange exchange) {
		exchange.dispatch(SameThreadExecutor.INSTANCE, () -> RequestBodyReader.read(exchange, MAXIMUM_REQUEST_BYTES,
				(body) -> respond(exchange, body), () -> IoUtils.safeClose(exchange.getConnection())));
	}

	private void respond(HttpServerExchange exchange, Optional<byte[]> body) {
		Optional<RelayRequest> call = body.flatMap((bytes) -> parse(new String(bytes, StandardCharsets.UTF_8)));
		if (call.isEmpty()) {
			exchange.setStatusCode(BAD_REQUEST);
			exchange.endExchange();
			return;
		}
		respond(call.get(), (answer) -> {
			exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
			exchange.getResponseSender().send(this.gson.toJson(answer));
		});
	}

	private Optional<RelayRequest> parse(String text) {
		try {
			return Optional.ofNullable(this.gson.fromJson(text, RelayRequest.class))
				.filter(RelayRequest::hasRequiredFields);
		}
		catch (JsonSyntaxException ex) {
			this.log.logStateChange("call of a peer can't be read", Map.of("reason", String.valueOf(ex)));
			return Optional.empty();
		}
	}

	/**
	 * Answers a call.
	 * @param call the call
	 * @param receiver receives the answer, once, when there is news or the time is up
	 */
	void respond(RelayRequest call, Consumer<RelayResponse> receiver) {
		long received = this.scheduler.nowMillis();
		call.told().forEach(this.reportConsumer);
		Consumer<StoreResult> result = (outcome) -> receiver
			.accept(toResponse(outcome, this.scheduler.nowMillis() - received));
		switch (call.verb()) {
			case READ -> readConfiguration(call, result);
			case LIST -> result.accept(cacheFor(call.kind()).list());
			case WATCH -> watch(call, result);
		}
	}

	private void readConfiguration(RelayRequest call, Consumer<StoreResult> result) {
		Optional<StoreResult.Listed> known = this.configurationPoller.confirmedObject();
		boolean newer = known.isPresent() && known.get().revision() != call.revision();
		if (newer || known.isEmpty()) {
			result.accept(listedOrFailed(known));
		}
		else {
			this.configurationPoller
				.runAfterNextPoll(() -> result.accept(listedOrFailed(this.configurationPoller.confirmedObject())));
		}
	}

	private static StoreResult listedOrFailed(Optional<StoreResult.Listed> known) {
		return known.<StoreResult>map((listed) -> listed).orElse(new StoreResult.Failed("not confirmed"));
	}

	private void watch(RelayRequest call, Consumer<StoreResult> result) {
		if (call.source().equals(this.incarnation)) {
			cacheFor(call.kind()).watch(call.revision(), call.waitMillis(), result);
		}
		else {
			result.accept(new StoreResult.HistoryGone());
		}
	}

	private RelayResponse toResponse(StoreResult result, long heldMillis) {
		if (result instanceof StoreResult.Listed listed) {
			return new RelayResponse(this.incarnation, RelayResponse.Outcome.LISTED,
					listed.objects().stream().map((object) -> RelayResponse.RelayedObject.of(object, false)).toList(),
					listed.revision(), heldMillis, listed.ageMillis());
		}
		if (result instanceof StoreResult.Changed changed) {
			return new RelayResponse(this.incarnation, RelayResponse.Outcome.CHANGED,
					changed.changes()
						.stream()
						.map((change) -> RelayResponse.RelayedObject.of(change.object(), change.deleted()))
						.toList(),
					changed.revision(), heldMillis, 0);
		}
		RelayResponse.Outcome outcome = (result instanceof StoreResult.HistoryGone) ? RelayResponse.Outcome.HISTORY_GONE
				: RelayResponse.Outcome.UNAVAILABLE;
		return new RelayResponse(this.incarnation, outcome, List.of(), 0, heldMillis, 0);
	}

}
