package org.skylarkspring.gateway.internal;

import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import org.xnio.IoUtils;

import org.skylarkspring.gateway.model.ObjectKind;
import org.skylarkspring.gateway.model.StoreResult;

/**
 * Serves objects that this instance has read from the platform's store to other
 * instances, so that they need not query the store themselves.
 */
final class StoreRelayHandler {

	static final String PATH = "/peer-store";

	private static final int BAD_REQUEST = 400;

	private final Gson gson = new Gson();

	private final Scheduler scheduler;

	private final DecisionLog log;

	private final PeerRequestBodies bodies;

	private final String incarnation;

	private final Map<ObjectKind, WatchCache> caches = new EnumMap<>(ObjectKind.class);

	private final ConfigurationPoller configurationPoller;

	private final Consumer<PeerLoadReport> reportConsumer;

	StoreRelayHandler(String instanceId, Scheduler scheduler, DecisionLog log, ConfigurationPoller configurationPoller,
			Consumer<PeerLoadReport> reportConsumer) {
		this.scheduler = scheduler;
		this.log = log;
		this.bodies = new PeerRequestBodies(scheduler, log);
		this.incarnation = instanceId + "@" + scheduler.epochMillis();
		this.configurationPoller = configurationPoller;
		this.reportConsumer = reportConsumer;
	}

	/**
	 * Returns the cache for a kind of objects. The informer of that kind must update it
	 * through {@link WatchCache#listenerForwardingTo}.
	 * @param kind kind of the objects
	 * @return the cache
	 */
	WatchCache cacheFor(ObjectKind kind) {
		return this.caches.computeIfAbsent(kind, (key) -> new WatchCache(this.scheduler));
	}

	void handleRequest(HttpServerExchange exchange) {
		this.bodies.read(exchange, (json) -> respond(exchange, json));
	}

	private void respond(HttpServerExchange exchange, String json) {
		Optional<RelayRequest> request = parse(json);
		if (request.isEmpty()) {
			exchange.setStatusCode(BAD_REQUEST);
			exchange.endExchange();
			return;
		}
		respond(request.get(), (response) -> send(exchange, response));
	}

	// Several exchanges may wait for the same change, which one of them must not keep
	// from the others.
	private void send(HttpServerExchange exchange, RelayResponse response) {
		try {
			exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
			exchange.getResponseSender().send(this.gson.toJson(response));
		}
		catch (RuntimeException ex) {
			this.log.logStateChange("relay response could not be sent, closing the connection",
					Map.of("error", String.valueOf(ex)));
			IoUtils.safeClose(exchange.getConnection());
		}
	}

	private Optional<RelayRequest> parse(String json) {
		try {
			return Optional.ofNullable(this.gson.fromJson(json, RelayRequest.class))
				.filter(RelayRequest::hasRequiredFields);
		}
		catch (JsonParseException ex) {
			this.log.logStateChange("cannot parse relay request of peer, responding with status 400",
					Map.of("reason", String.valueOf(ex)));
			return Optional.empty();
		}
	}

	/**
	 * Responds to a request.
	 * @param request the request
	 * @param callback receives the response exactly once; a read waits for the next poll
	 * if the configuration is unchanged, and a watch for a change or its timeout
	 */
	void respond(RelayRequest request, Consumer<RelayResponse> callback) {
		long receivedMillis = this.scheduler.nowMillis();
		request.told().stream().map(PeerLoadReport::withoutInvalidEntries).forEach(this.reportConsumer);
		Consumer<StoreResult> result = (outcome) -> callback
			.accept(toResponse(request, outcome, this.scheduler.nowMillis() - receivedMillis));
		switch (request.verb()) {
			case READ -> readConfiguration(request, result);
			case LIST -> cacheFor(request.kind()).list(result);
			case WATCH -> watch(request, result);
		}
	}

	private void readConfiguration(RelayRequest request, Consumer<StoreResult> result) {
		Optional<StoreResult.Listed> current = this.configurationPoller.confirmedObject();
		boolean changed = current.isPresent() && !request.knows(current.get().revision());
		if (changed || current.isEmpty()) {
			result.accept(listedOrFailed(current));
		}
		else {
			this.configurationPoller
				.runAfterNextPoll(() -> result.accept(listedOrFailed(this.configurationPoller.confirmedObject())));
		}
	}

	private static StoreResult listedOrFailed(Optional<StoreResult.Listed> current) {
		return current.<StoreResult>map((listed) -> listed)
			.orElse(new StoreResult.Failed("configuration not confirmed"));
	}

	private void watch(RelayRequest request, Consumer<StoreResult> result) {
		if (request.source().equals(this.incarnation)) {
			cacheFor(request.kind()).watch(request.revision(), request.waitMillis(), result);
		}
		else {
			result.accept(new StoreResult.HistoryGone());
		}
	}

	private RelayResponse toResponse(RelayRequest request, StoreResult result, long heldMillis) {
		if (result instanceof StoreResult.Listed listed && request.allowsUnchanged(listed.revision())) {
			return new RelayResponse(this.incarnation, RelayResponse.Outcome.UNCHANGED, List.of(),
					listed.revision().number(), heldMillis, listed.ageMillis(), listed.revision().era());
		}
		if (result instanceof StoreResult.Listed listed) {
			return new RelayResponse(this.incarnation, RelayResponse.Outcome.LISTED,
					listed.objects().stream().map((object) -> RelayResponse.RelayedObject.of(object, false)).toList(),
					listed.revision().number(), heldMillis, listed.ageMillis(), listed.revision().era());
		}
		if (result instanceof StoreResult.Changed changed) {
			return new RelayResponse(this.incarnation, RelayResponse.Outcome.CHANGED,
					changed.changes()
						.stream()
						.map((change) -> RelayResponse.RelayedObject.of(change.object(), change.deleted()))
						.toList(),
					changed.revision().number(), heldMillis, changed.ageMillis(), changed.revision().era());
		}
		RelayResponse.Outcome outcome = (result instanceof StoreResult.HistoryGone) ? RelayResponse.Outcome.HISTORY_GONE
				: RelayResponse.Outcome.UNAVAILABLE;
		return new RelayResponse(this.incarnation, outcome, List.of(), 0, heldMillis, 0, null);
	}

}
