package org.skylarkspring.gateway.internal;

import java.util.Locale;
import java.util.Map;
import java.util.Optional;

import io.undertow.client.ClientResponse;
import io.undertow.util.Headers;

import org.skylarkspring.gateway.model.LoadSample;
import org.skylarkspring.gateway.model.ReportedPace;
import org.skylarkspring.gateway.model.ResponseHead;
import org.skylarkspring.gateway.policy.ResponseHeadCheck;

/**
 * Reads the head of a server's response: records what it says of the server, and decides
 * whether the response can be relayed.
 */
final class ResponseHeadReader {

	private static final int OK = 200;

	private static final int MISDIRECTED_REQUEST = 421;

	private static final String EVENT_STREAM = "text/event-stream";

	private final GatewayContext context;

	private final RequestDispatcher dispatcher;

	private final ActiveRequest request;

	private final ServerEntry server;

	ResponseHeadReader(GatewayContext context, RequestDispatcher dispatcher, ActiveRequest request,
			ServerEntry server) {
		this.context = context;
		this.dispatcher = dispatcher;
		this.request = request;
		this.server = server;
	}

	/**
	 * Reads a head.
	 * @param response status and headers
	 * @return what they mean for the request
	 */
	ResponseHeadVerdict read(ClientResponse response) {
		int status = response.getResponseCode();
		ResponseHead head = this.context.serverProtocol.decodeResponseHeaders(status, response.getResponseHeaders());
		ResponseHeadCheck check = new ResponseHeadCheck(status, head, this.request.id());
		if (status != MISDIRECTED_REQUEST && check.mayBelongToRequest()) {
			recordServerState(head);
		}
		Optional<String> fault = check.describeFault();
		if (fault.isPresent()) {
			return new ResponseHeadVerdict.Unusable(fault.get());
		}
		if (check.isRefusal()) {
			return new ResponseHeadVerdict.Refused();
		}
		boolean success = status / 100 == 2;
		if (success && (!head.signed() || response.getResponseHeaders().contains(Headers.CONTENT_ENCODING))) {
			return new ResponseHeadVerdict.Unusable("response is unsigned or has a content encoding");
		}
		return decideRelaying(response);
	}

	private ResponseHeadVerdict decideRelaying(ClientResponse response) {
		int status = response.getResponseCode();
		boolean stream = status == OK && this.request.route.semantics().isStreaming()
				&& (!this.request.isCommitted() || isEventStream(response));
		if (this.request.isCommitted() && !stream) {
			// The caller has received part of a stream, which only a stream can complete.
			return new ResponseHeadVerdict.Unusable(
					"status " + status + " while resuming a stream that the caller has partly received");
		}
		return new ResponseHeadVerdict.Relayed(stream);
	}

	private static boolean isEventStream(ClientResponse response) {
		String contentType = response.getResponseHeaders().getFirst(Headers.CONTENT_TYPE);
		return contentType != null && contentType.toLowerCase(Locale.ROOT).startsWith(EVENT_STREAM);
	}

	private void recordServerState(ResponseHead head) {
		this.dispatcher.serverRateLimits().recordResponse(this.server, head.rateLimit());
		head.load().map(LoadSample::pace).ifPresent(this::recordPace);
		head.backoffMillis().ifPresent(this::recordBackoff);
		if (head.leaving()) {
			this.dispatcher.outcomes().onServerLeaving(this.server);
		}
	}

	private void recordPace(ReportedPace pace) {
		String serverId = this.server.registration.id();
		if (pace instanceof ReportedPace.Duration duration) {
			this.context.serverPaces.recordReport(serverId, duration.durationPercent(),
					this.context.scheduler.nowMillis());
		}
		else if (pace instanceof ReportedPace.Invalid invalid) {
			this.context.metrics.recordDecision("invalid pace of server ignored");
			if (this.context.serverPaces.recordInvalid(serverId)) {
				this.context.log.logStateChange("invalid pace of server ignored",
						Map.of("server", serverId, "pace", invalid.text()));
			}
		}
	}

	private void recordBackoff(long millis) {
		this.server.backOffUntil(this.context.scheduler.nowMillis() + millis);
		this.context.metrics.recordDecision("server asked to be left alone");
		this.context.log.logStateChange("server wants no requests for a while",
				Map.of("server", this.server.registration.id(), "millis", millis));
	}

}
