package org.skylarkspring.gateway.internal;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;

import org.skylarkspring.gateway.http.DeliveryStatus;
import org.skylarkspring.gateway.http.HttpClientCall;
import org.skylarkspring.gateway.model.DispatchHead;
import org.skylarkspring.gateway.model.ResponseHead;
import org.skylarkspring.gateway.policy.EventSequenceTracker;
import org.skylarkspring.gateway.policy.SseEvent;
import org.skylarkspring.gateway.policy.SseEventSplitter;

/**
 * One send of a request to one server. Judges the answer and passes it on.
 */
final class ServerAttempt implements HttpClientCall.Listener {

	/** Answers up to this size are passed on only when they are known to be whole. */
	private static final int MAXIMUM_BUFFERED_BYTES = 256 * 1024;

	private static final long CONNECT_TIMEOUT_MILLIS = 250;

	private static final int OK = 200;

	private static final int MISDIRECTED_REQUEST = 421;

	final ActiveRequest activeRequest;

	final ServerEntry server;

	final DispatchHead dispatchHead;

	final long startedMillis;

	Scheduler.Timer responseTimer;

	/** Events passed on from this attempt. */
	int relayedEvents;

	boolean sent;

	/** Prompt tokens the server may not have read yet. */
	long pendingPrefillTokens;

	private final GatewayContext context;

	private final RequestDispatcher dispatcher;

	private final SseEventSplitter splitter = new SseEventSplitter();

	private final ByteArrayOutputStream bufferedBody = new ByteArrayOutputStream();

	private final HttpClientCall httpCall;

	private ClientResponse response;

	private boolean streaming;

	private boolean detached;

	ServerAttempt(GatewayContext context, RequestDispatcher dispatcher, ActiveRequest activeRequest, ServerEntry server,
			DispatchHead dispatchHead) {
		this.context = context;
		this.dispatcher = dispatcher;
		this.activeRequest = activeRequest;
		this.server = server;
		this.dispatchHead = dispatchHead;
		this.startedMillis = context.scheduler.nowMillis();
		this.httpCall = new HttpClientCall(context.ioThread, context.buffers, this);
	}

	void start() {
		ClientRequest request = new ClientRequest().setMethod(this.activeRequest.exchange.getRequestMethod())
			.setPath(pathAndQuery());
		HeaderMap headers = request.getRequestHeaders();
		copyHeaders(this.activeRequest.forwardedHeaders, headers);
		if (this.activeRequest.body.length > 0
				|| this.activeRequest.exchange.getRequestHeaders().contains(Headers.CONTENT_LENGTH)) {
			headers.put(Headers.CONTENT_LENGTH, this.activeRequest.body.length);
		}
		this.context.serverProtocol.encodeRequestHeaders(this.dispatchHead, headers);
		this.httpCall.start(this.server.registration.address(), request, this.activeRequest.body,
				CONNECT_TIMEOUT_MILLIS);
	}

	void cancel() {
		this.detached = true;
		cancelResponseTimer();
		this.httpCall.cancel();
	}

	void resumeReads() {
		this.httpCall.resumeReads();
	}

	/** The server has answered, so it has read the prompt. */
	void markPrefillComplete() {
		this.server.pendingPrefillTokens -= this.pendingPrefillTokens;
		this.pendingPrefillTokens = 0;
	}

	boolean hasResponse() {
		return this.response != null;
	}

	ClientResponse response() {
		return this.response;
	}

	byte[] bufferedBody() {
		return this.bufferedBody.toByteArray();
	}

	@Override
	public boolean beforeSend() {
		this.sent = this.dispatcher.maySend(this);
		return this.sent;
	}

	@Override
	public void onResponseHeaders(ClientResponse received) {
		this.response = received;
		int status = received.getResponseCode();
		ResponseHead answer = this.context.serverProtocol.decodeResponseHeaders(status, received.getResponseHeaders());
		if (answer.requestId().isPresent() && !answer.requestId().get().equals(this.activeRequest.id())) {
			cancelAndReport(
					() -> this.dispatcher.onAttemptFailed(this, DeliveryStatus.UNKNOWN, "answer of another request"));
			return;
		}
		if (answer.notExecuted() || status == MISDIRECTED_REQUEST) {
			cancelAndReport(() -> this.dispatcher.onNotExecuted(this, status));
			return;
		}
		boolean success = status / 100 == 2;
		if (success && (!answer.signed() || received.getResponseHeaders().contains(Headers.CONTENT_ENCODING))) {
			cancelAndReport(() -> this.dispatcher.onAttemptFailed(this, DeliveryStatus.UNKNOWN,
					"answer without the server's signature"));
			return;
		}
		this.streaming = status == OK && this.activeRequest.route.semantics().isStreaming();
		if (this.activeRequest.isCommitted() && !this.streaming) {
			// The caller has part of a stream; nothing else can complete it.
			cancelAndReport(() -> this.dispatcher.onAttemptFailed(this, DeliveryStatus.UNKNOWN,
					"status " + status + " within a stream"));
		}
	}

	private void cancelAndReport(Runnable outcome) {
		cancel();
		outcome.run();
	}

	@Override
	public boolean onData(ByteBuffer data) {
		if (this.detached) {
			data.position(data.limit());
			return true;
		}
		return this.streaming ? onStreamData(data) : onBodyData(data);
	}

	private boolean onStreamData(ByteBuffer data) {
		boolean[] keepsUp = { true };
		boolean sound = this.splitter.accept(data, (event) -> {
			if (!this.detached) {
				keepsUp[0] = onEvent(event);
			}
		});
		if (!sound) {
			cancelAndReport(() -> this.dispatcher.onAttemptFailed(this, DeliveryStatus.UNKNOWN, "event too large"));
		}
		return keepsUp[0];
	}

	private boolean onEvent(SseEvent event) {
		EventSequenceTracker.Disposition judgement = this.activeRequest.eventOrder.classify(event);
		if (judgement == EventSequenceTracker.Disposition.GAP) {
			cancelAndReport(() -> this.dispatcher.onAttemptFailed(this, DeliveryStatus.UNKNOWN,
					"gap before event " + event.id().orElse("")));
			return true;
		}
		if (judgement == EventSequenceTracker.Disposition.DUPLICATE) {
			return true;
		}
		return this.dispatcher.streamRelay().relayEvent(this, event);
	}

	private boolean onBodyData(ByteBuffer data) {
		byte[] part = new byte[data.remaining()];
		data.get(part);
		if (this.activeRequest.isCommitted()) {
			return this.activeRequest.responseWriter.write(part);
		}
		this.bufferedBody.writeBytes(part);
		if (this.bufferedBody.size() > MAXIMUM_BUFFERED_BYTES) {
			this.activeRequest.responseWriter.startResponse(this.response.getResponseCode(), responseHeaders());
			return this.activeRequest.responseWriter.write(this.bufferedBody.toByteArray());
		}
		return true;
	}

	@Override
	public void onComplete() {
		if (this.detached) {
			return;
		}
		cancelResponseTimer();
		this.detached = true;
		byte[] rest = this.splitter.incompleteEventBytes();
		if (this.streaming) {
			this.dispatcher.streamRelay().completeStream(this, rest);
		}
		else {
			this.dispatcher.onResponseComplete(this);
		}
	}

	@Override
	public void onFailure(DeliveryStatus outcome, String reason) {
		if (this.detached) {
			return;
		}
		this.detached = true;
		cancelResponseTimer();
		this.dispatcher.onAttemptFailed(this, this.sent ? outcome : DeliveryStatus.NOT_SENT, reason);
	}

	private void cancelResponseTimer() {
		if (this.responseTimer != null) {
			this.responseTimer.cancel();
		}
	}

	HeaderMap responseHeaders() {
		HeaderMap headers = new HeaderMap();
		copyHeaders(this.response.getResponseHeaders(), headers);
		HopByHopHeaders.removeFrom(headers);
		headers.remove(Headers.CONTENT_LENGTH);
		return headers;
	}

	private String pathAndQuery() {
		String query = this.activeRequest.exchange.getQueryString();
		String path = this.activeRequest.exchange.getRequestURI();
		return query.isEmpty() ? path : path + "?" + query;
	}

	private static void copyHeaders(HeaderMap from, HeaderMap to) {
		for (HttpString name : from.getHeaderNames()) {
			to.putAll(name, from.get(name));
		}
	}

}
