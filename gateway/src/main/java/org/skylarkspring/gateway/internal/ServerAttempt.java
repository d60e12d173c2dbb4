package org.skylarkspring.gateway.internal;

import java.io.ByteArrayOutputStream;
import java.nio.ByteBuffer;

import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;
import io.undertow.util.HeaderMap;
import io.undertow.util.Headers;
import io.undertow.util.HttpString;

import org.skylarkspring.gateway.http.CallOutcome;
import org.skylarkspring.gateway.http.ServerCall;
import org.skylarkspring.gateway.model.AnswerHead;
import org.skylarkspring.gateway.model.DispatchHead;
import org.skylarkspring.gateway.policy.EventOrder;
import org.skylarkspring.gateway.policy.EventSplitter;
import org.skylarkspring.gateway.policy.StreamEvent;

/**
 * One send of a request to one server. Judges the answer and passes it on.
 */
final class ServerAttempt implements ServerCall.Listener {

	/** Answers up to this size are passed on only when they are known to be whole. */
	private static final int MAXIMUM_HELD_BYTES = 256 * 1024;

	private static final long CONNECT_TIMEOUT_MILLIS = 250;

	private static final int OK = 200;

	private static final int MISDIRECTED = 421;

	final Call call;

	final ServerEntry entry;

	final DispatchHead head;

	final long startedMillis;

	TimeSource.Timer silenceTimer;

	/** Events passed on from this attempt. */
	int events;

	boolean sent;

	/** Prompt tokens the server may not have read yet. */
	long unreadTokens;

	private final GatewayContext context;

	private final CallFlow flow;

	private final EventSplitter splitter = new EventSplitter();

	private final ByteArrayOutputStream held = new ByteArrayOutputStream();

	private final ServerCall http;

	private ClientResponse response;

	private boolean streaming;

	private boolean detached;

	ServerAttempt(GatewayContext context, CallFlow flow, Call call, ServerEntry entry, DispatchHead head) {
		this.context = context;
		this.flow = flow;
		this.call = call;
		this.entry = entry;
		this.head = head;
		this.startedMillis = context.time.nowMillis();
		this.http = new ServerCall(context.ioThread, context.buffers, this);
	}

	void start() {
		ClientRequest request = new ClientRequest().setMethod(this.call.exchange.getRequestMethod())
			.setPath(pathAndQuery());
		HeaderMap headers = request.getRequestHeaders();
		copy(this.call.forwardedHeaders, headers);
		if (this.call.body.length > 0 || this.call.exchange.getRequestHeaders().contains(Headers.CONTENT_LENGTH)) {
			headers.put(Headers.CONTENT_LENGTH, this.call.body.length);
		}
		this.context.servers.encode(this.head, headers);
		this.http.start(this.entry.listing.address(), request, this.call.body, CONNECT_TIMEOUT_MILLIS);
	}

	void cancel() {
		this.detached = true;
		cancelTimer();
		this.http.cancel();
	}

	void resumeReads() {
		this.http.resumeReads();
	}

	/** The server has answered, so it has read the prompt. */
	void promptRead() {
		this.entry.unreadTokens -= this.unreadTokens;
		this.unreadTokens = 0;
	}

	boolean answered() {
		return this.response != null;
	}

	ClientResponse response() {
		return this.response;
	}

	byte[] heldBody() {
		return this.held.toByteArray();
	}

	@Override
	public boolean beforeSend() {
		this.sent = this.flow.maySend(this);
		return this.sent;
	}

	@Override
	public void onHead(ClientResponse received) {
		this.response = received;
		int status = received.getResponseCode();
		AnswerHead answer = this.context.servers.decode(status, received.getResponseHeaders());
		if (answer.requestId().isPresent() && !answer.requestId().get().equals(this.call.id())) {
			give(() -> this.flow.broke(this, CallOutcome.UNKNOWN, "answer of another request"));
			return;
		}
		if (answer.notExecuted() || status == MISDIRECTED) {
			give(() -> this.flow.notRun(this, status));
			return;
		}
		boolean success = status / 100 == 2;
		if (success && (!answer.signed() || received.getResponseHeaders().contains(Headers.CONTENT_ENCODING))) {
			give(() -> this.flow.broke(this, CallOutcome.UNKNOWN, "answer without the server's signature"));
			return;
		}
		this.streaming = status == OK && this.call.route.kind().streamed();
		if (this.call.committed() && !this.streaming) {
			// The caller has part of a stream; nothing else can complete it.
			give(() -> this.flow.broke(this, CallOutcome.UNKNOWN, "status " + status + " within a stream"));
		}
	}

	private void give(Runnable outcome) {
		cancel();
		outcome.run();
	}

	@Override
	public boolean onData(ByteBuffer data) {
		if (this.detached) {
			data.position(data.limit());
			return true;
		}
		return this.streaming ? onStream(data) : onBody(data);
	}

	private boolean onStream(ByteBuffer data) {
		boolean[] keepsUp = { true };
		boolean sound = this.splitter.accept(data, (event) -> {
			if (!this.detached) {
				keepsUp[0] = onEvent(event);
			}
		});
		if (!sound) {
			give(() -> this.flow.broke(this, CallOutcome.UNKNOWN, "event too large"));
		}
		return keepsUp[0];
	}

	private boolean onEvent(StreamEvent event) {
		EventOrder.Judgement judgement = this.call.order.judge(event);
		if (judgement == EventOrder.Judgement.GAP) {
			give(() -> this.flow.broke(this, CallOutcome.UNKNOWN, "gap before event " + event.id().orElse("")));
			return true;
		}
		if (judgement == EventOrder.Judgement.REPEATED) {
			return true;
		}
		return this.flow.streams().passOn(this, event);
	}

	private boolean onBody(ByteBuffer data) {
		byte[] part = new byte[data.remaining()];
		data.get(part);
		if (this.call.committed()) {
			return this.call.answer.write(part);
		}
		this.held.writeBytes(part);
		if (this.held.size() > MAXIMUM_HELD_BYTES) {
			this.call.answer.start(this.response.getResponseCode(), answerHeaders());
			return this.call.answer.write(this.held.toByteArray());
		}
		return true;
	}

	@Override
	public void onEnd() {
		if (this.detached) {
			return;
		}
		cancelTimer();
		this.detached = true;
		byte[] rest = this.splitter.rest();
		if (this.streaming) {
			this.flow.streams().streamEnded(this, rest);
		}
		else {
			this.flow.answered(this);
		}
	}

	@Override
	public void onFailure(CallOutcome outcome, String reason) {
		if (this.detached) {
			return;
		}
		this.detached = true;
		cancelTimer();
		this.flow.broke(this, this.sent ? outcome : CallOutcome.NOT_SENT, reason);
	}

	private void cancelTimer() {
		if (this.silenceTimer != null) {
			this.silenceTimer.remove();
		}
	}

	HeaderMap answerHeaders() {
		HeaderMap headers = new HeaderMap();
		copy(this.response.getResponseHeaders(), headers);
		Connections.withoutConnectionHeaders(headers);
		headers.remove(Headers.CONTENT_LENGTH);
		return headers;
	}

	private String pathAndQuery() {
		String query = this.call.exchange.getQueryString();
		String path = this.call.exchange.getRequestURI();
		return query.isEmpty() ? path : path + "?" + query;
	}

	private static void copy(HeaderMap from, HeaderMap to) {
		for (HttpString name : from.getHeaderNames()) {
			to.putAll(name, from.get(name));
		}
	}

}
