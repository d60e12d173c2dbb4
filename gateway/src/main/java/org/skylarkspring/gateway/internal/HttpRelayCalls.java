package org.skylarkspring.gateway.internal;

import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import com.google.gson.Gson;
import com.google.gson.JsonSyntaxException;
import io.undertow.util.Methods;

import org.skylarkspring.gateway.http.TextClient;
import org.skylarkspring.gateway.http.TextRequest;
import org.skylarkspring.gateway.http.TextResult;

/**
 * Asks relays over HTTP, in JSON.
 */
final class HttpRelayCalls implements RelayCalls {

	private final Gson gson = new Gson();

	private final TextClient client;

	private final DecisionLog log;

	HttpRelayCalls(TextClient client, DecisionLog log) {
		this.client = client;
		this.log = log;
	}

	@Override
	public void ask(String address, RelayedCall call, long timeoutMillis, Consumer<Optional<RelayedAnswer>> answer) {
		TextRequest request = new TextRequest(Methods.POST, StoreRelay.PATH, Optional.of(this.gson.toJson(call)));
		this.client.call(address, request, timeoutMillis, (result) -> answer.accept(parse(result)));
	}

	private Optional<RelayedAnswer> parse(TextResult result) {
		if (!(result instanceof TextResult.Answered answered)) {
			return Optional.empty();
		}
		try {
			return Optional.ofNullable(this.gson.fromJson(answered.body(), RelayedAnswer.class))
				.filter(RelayedAnswer::complete);
		}
		catch (JsonSyntaxException ex) {
			this.log.change("answer of a relay can't be read", Map.of("reason", String.valueOf(ex)));
			return Optional.empty();
		}
	}

}
