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
final class StoreRelay {

	static final String PATH = "/peer-store";

	private static final int MAXIMUM_CALL_BYTES = 4 * 1024;

	private static final int BAD_REQUEST = 400;

	private final Gson gson = new Gson();

	private final TimeSource time;

	private final DecisionLog log;

	private final String source;

	private final Map<ObjectKind, KindCopy> copies = new EnumMap<>(ObjectKind.class);

	private final ConfigurationFeed configuration;

	private final Consumer<PeerLoad> onTold;

	StoreRelay(String instanceId, TimeSource time, DecisionLog log, ConfigurationFeed configuration,
			Consumer<PeerLoad> onTold) {
		this.time = time;
		this.log = log;
		this.source = instanceId + "@" + time.epochMillis();
		this.configuration = configuration;
		this.onTold = onTold;
	}

	/**
	 * Returns the copy of a kind, to be kept up to date by whoever follows the kind.
	 * @param kind kind of objects
	 * @return the copy
	 */
	KindCopy copy(ObjectKind kind) {
		return this.copies.computeIfAbsent(kind, (known) -> new KindCopy(this.time));
	}

	void receive(HttpServerExchange exchange) {
		exchange.dispatch(SameThreadExecutor.INSTANCE, () -> BodyReader.read(exchange, MAXIMUM_CALL_BYTES,
				(body) -> answer(exchange, body), () -> IoUtils.safeClose(exchange.getConnection())));
	}

	private void answer(HttpServerExchange exchange, Optional<byte[]> body) {
		Optional<RelayedCall> call = body.flatMap((bytes) -> parse(new String(bytes, StandardCharsets.UTF_8)));
		if (call.isEmpty()) {
			exchange.setStatusCode(BAD_REQUEST);
			exchange.endExchange();
			return;
		}
		answer(call.get(), (answer) -> {
			exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
			exchange.getResponseSender().send(this.gson.toJson(answer));
		});
	}

	private Optional<RelayedCall> parse(String text) {
		try {
			return Optional.ofNullable(this.gson.fromJson(text, RelayedCall.class)).filter(RelayedCall::complete);
		}
		catch (JsonSyntaxException ex) {
			this.log.change("call of a peer can't be read", Map.of("reason", String.valueOf(ex)));
			return Optional.empty();
		}
	}

	/**
	 * Answers a call.
	 * @param call the call
	 * @param receiver receives the answer, once, when there is news or the time is up
	 */
	void answer(RelayedCall call, Consumer<RelayedAnswer> receiver) {
		long received = this.time.nowMillis();
		call.told().forEach(this.onTold);
		Consumer<StoreResult> result = (outcome) -> receiver.accept(encode(outcome, this.time.nowMillis() - received));
		switch (call.verb()) {
			case READ -> readConfiguration(call, result);
			case LIST -> result.accept(copy(call.kind()).list());
			case WATCH -> watch(call, result);
		}
	}

	private void readConfiguration(RelayedCall call, Consumer<StoreResult> result) {
		Optional<StoreResult.Listed> known = this.configuration.confirmedObject();
		boolean newer = known.isPresent() && known.get().revision() != call.revision();
		if (newer || known.isEmpty()) {
			result.accept(orUnavailable(known));
		}
		else {
			this.configuration.afterNextPoll(() -> result.accept(orUnavailable(this.configuration.confirmedObject())));
		}
	}

	private static StoreResult orUnavailable(Optional<StoreResult.Listed> known) {
		return known.<StoreResult>map((listed) -> listed).orElse(new StoreResult.Failed("not confirmed"));
	}

	private void watch(RelayedCall call, Consumer<StoreResult> result) {
		if (call.source().equals(this.source)) {
			copy(call.kind()).watch(call.revision(), call.waitMillis(), result);
		}
		else {
			result.accept(new StoreResult.HistoryGone());
		}
	}

	private RelayedAnswer encode(StoreResult result, long heldMillis) {
		if (result instanceof StoreResult.Listed listed) {
			return new RelayedAnswer(this.source, RelayedAnswer.Outcome.LISTED,
					listed.objects().stream().map((object) -> RelayedAnswer.RelayedObject.of(object, false)).toList(),
					listed.revision(), heldMillis, listed.ageMillis());
		}
		if (result instanceof StoreResult.Changed changed) {
			return new RelayedAnswer(this.source, RelayedAnswer.Outcome.CHANGED,
					changed.changes()
						.stream()
						.map((change) -> RelayedAnswer.RelayedObject.of(change.object(), change.deleted()))
						.toList(),
					changed.revision(), heldMillis, 0);
		}
		RelayedAnswer.Outcome outcome = (result instanceof StoreResult.HistoryGone) ? RelayedAnswer.Outcome.HISTORY_GONE
				: RelayedAnswer.Outcome.UNAVAILABLE;
		return new RelayedAnswer(this.source, outcome, List.of(), 0, heldMillis, 0);
	}

}
