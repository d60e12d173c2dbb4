package org.skylarkspring.gateway.internal;

import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import io.undertow.util.Methods;

import org.skylarkspring.gateway.http.HttpTextClient;
import org.skylarkspring.gateway.http.HttpTextRequest;
import org.skylarkspring.gateway.http.HttpTextResult;

/**
 * Sends relay requests as JSON over HTTP.
 */
final class HttpRelayClient implements RelayClient {

	private final Gson gson = new Gson();

	private final HttpTextClient client;

	private final DecisionLog log;

	HttpRelayClient(HttpTextClient client, DecisionLog log) {
		this.client = client;
		this.log = log;
	}

	@Override
	public void call(String address, RelayRequest request, long timeoutMillis,
			Consumer<Optional<RelayResponse>> callback) {
		HttpTextRequest httpRequest = new HttpTextRequest(Methods.POST, StoreRelayHandler.PATH,
				Optional.of(this.gson.toJson(request)))
			.withLargeResponse();
		this.client.sendAsync(address, httpRequest, timeoutMillis, (result) -> callback.accept(parse(result)));
	}

	private Optional<RelayResponse> parse(HttpTextResult result) {
		if (!(result instanceof HttpTextResult.Answered answered)) {
			return Optional.empty();
		}
		try {
			return Optional.ofNullable(this.gson.fromJson(answered.body(), RelayResponse.class))
				.filter(RelayResponse::hasRequiredFields);
		}
		catch (JsonParseException ex) {
			this.log.logStateChange("cannot parse relay response, treating it as missing",
					Map.of("reason", String.valueOf(ex)));
			return Optional.empty();
		}
	}

}
