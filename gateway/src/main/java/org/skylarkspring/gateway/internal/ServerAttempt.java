package org.skylarkspring.gateway.internal;

import java.nio.ByteBuffer;
import java.util.Optional;

import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;

import org.skylarkspring.gateway.http.DeliveryStatus;
import org.skylarkspring.gateway.http.HttpClientCall;
import org.skylarkspring.gateway.http.ResponseFraming;
import org.skylarkspring.gateway.model.DispatchHead;
import org.skylarkspring.gateway.model.GenerationResumePoint;
import org.skylarkspring.gateway.policy.AttemptTimeouts;
import org.skylarkspring.gateway.policy.EventSequenceTracker;
import org.skylarkspring.gateway.policy.SseEvent;
import org.skylarkspring.gateway.pressure.ReadPauses;

/**
 * One attempt to send a request to a server. Holds the state of the call and passes on
 * what arrives: {@link ResponseHeadReader} decides what the head of the response means,
 * {@link ResponseBuffer} keeps the bytes that wait, and {@link StreamEndCheck} finds out
 * whether an ended stream is complete.
 */
final class ServerAttempt implements HttpClientCall.Listener {

	/** Number of events up to which a response is considered to begin. */
	private static final int MAXIMUM_EVENTS_AT_START = 1;

	private static final int LOWEST_ERROR_STATUS = 400;

	final ActiveRequest activeRequest;

	final ServerEntry server;

	DispatchHead dispatchHead;

	final long startedMillis;

	/** Migration that this attempt continues, {@code null} for none. */
	GenerationMigration origin;

	Scheduler.Timer responseTimer;

	/** Number of events relayed from this attempt. */
	int relayedEvents;

	boolean sent;

	/** Prompt tokens for which the server may not have completed the prefill yet. */
	long pendingPrefillTokens;

	/**
	 * Server that receives a backup of the KV cache while the generation runs,
	 * {@code null} for none.
	 */
	final ServerEntry backup;

	/** KV cache memory reserved on the server and for the backup, in tokens. */
	private long reservedTokens;

	private final GatewayContext context;

	private final RequestDispatcher dispatcher;

	private final ResponseBuffer buffer;

	private final EventSequenceTracker.Run run;

	private final HttpClientCall httpCall;

	private final ResponseHeadReader headReader;

	private final StreamEndCheck streamEndCheck;

	private final ReadPauses pauses = new ReadPauses();

	private final ClientRequest request = new ClientRequest();

	private ClientResponse response;

	private boolean streaming;

	/** Whether the server ended the connection before its response was complete. */
	private boolean brokenOff;

	/** Whether the server may have cut its response because it was not read in time. */
	private boolean cutUnread;

	/** Whether the connection ended after the request was sent to the server. */
	private boolean connectionLost;

	/** Number of events received, including duplicates that are not relayed. */
	private int receivedEvents;

	private boolean detached;

	/** Whether this instance decided not to send the request. */
	private boolean withdrawn;

	/** Whether the connection is established and waits for {@link #resumeFrom}. */
	private boolean waiting;

	/** Whether the established connection was closed before the request was written. */
	private boolean closedBeforeSend;

	ServerAttempt(GatewayContext context, RequestDispatcher dispatcher, ActiveRequest activeRequest, ServerEntry server,
			DispatchHead dispatchHead, Optional<ServerEntry> backup) {
		this.context = context;
		this.dispatcher = dispatcher;
		this.activeRequest = activeRequest;
		this.server = server;
		this.dispatchHead = dispatchHead;
		this.backup = backup.orElse(null);
		this.startedMillis = context.scheduler.nowMillis();
		this.run = activeRequest.eventOrder.startRun();
		this.buffer = new ResponseBuffer(dispatcher.responseMemory());
		this.httpCall = new HttpClientCall(context.connector, this);
		this.headReader = new ResponseHeadReader(context, dispatcher, activeRequest, server);
		this.streamEndCheck = new StreamEndCheck(context, this, this::onStreamEndChecked);
	}

	void start() {
		RelayedHeads.copyRequest(this.activeRequest, this.request);
		this.context.serverProtocol.encodeRequestHeaders(this.dispatchHead, this.request.getRequestHeaders());
		this.httpCall.start(this.server.registration.address(), this.request, this.activeRequest.body, AttemptTimeouts
			.connectTimeoutMillis(this.activeRequest.route.targetLatencyMillis(), this.dispatchHead.remainingMillis()));
	}

	/**
	 * Sends the request of an attempt that has waited for the source of its generation to
	 * stop, unless its server wants no requests any more.
	 * @param resumePoint point from which the generation resumes
	 * @param remainingMillis time left until the caller's deadline, in milliseconds
	 */
	void resumeFrom(GenerationResumePoint resumePoint, long remainingMillis) {
		this.dispatchHead = this.dispatchHead.resumingFrom(resumePoint, remainingMillis);
		this.context.serverProtocol.encodeRequestHeaders(this.dispatchHead, this.request.getRequestHeaders());
		this.waiting = false;
		this.sent = true;
		this.withdrawn = !this.dispatcher.maySend(this);
		if (this.withdrawn) {
			this.httpCall.withdraw();
		}
		else {
			this.httpCall.send();
		}
	}

	void cancel() {
		detach();
		this.httpCall.cancel();
	}

	/**
	 * Cancels the attempt, but closes its connection after the tasks that are due now.
	 */
	void cancelAfterDueTasks() {
		detach();
		this.httpCall.cancelAfterDueTasks();
	}

	private void detach() {
		this.detached = true;
		cancelResponseTimer();
		this.streamEndCheck.cancel();
	}

	void resumeReads() {
		this.pauses.resume(this.context.scheduler.nowMillis());
		this.httpCall.resumeReads();
	}

	/** Records that the server no longer has to prefill the prompt of this attempt. */
	void markPrefillComplete() {
		this.server.pendingPrefillTokens -= this.pendingPrefillTokens;
		this.pendingPrefillTokens = 0;
	}

	/**
	 * Changes the KV cache memory reserved on the server and for the backup.
	 * @param tokens amount of memory, in tokens
	 */
	void changeReservation(long tokens) {
		this.server.reservedTokens += tokens - this.reservedTokens;
		if (this.backup != null) {
			this.backup.reservedTokens += tokens - this.reservedTokens;
		}
		this.reservedTokens = tokens;
	}

	/** Releases the memory reserved for the response and the KV cache. */
	void releaseReservations() {
		this.buffer.release();
		changeReservation(0);
	}

	/**
	 * Returns whether the server was lost as it began to write the response to a new
	 * prompt, although it had given no notice that it terminates.
	 * @return {@code true} if the server may have crashed on the prompt
	 */
	boolean isLostAtStart() {
		return this.brokenOff && !this.cutUnread && this.streaming && this.relayedEvents <= MAXIMUM_EVENTS_AT_START
				&& this.dispatchHead.resumePoint().isEmpty() && this.server.acceptsRequests();
	}

	/**
	 * Returns whether the server ended the connection before its response was complete,
	 * although it had given no notice that it terminates.
	 * @return {@code true} if the server may have crashed
	 */
	boolean isConnectionLost() {
		return this.connectionLost && this.server.acceptsRequests();
	}

	/**
	 * Returns whether this instance decided not to send the request to the connected
	 * server, which is then no failure of the server.
	 * @return {@code true} if the attempt ended before its request was sent
	 */
	boolean isWithdrawn() {
		return this.withdrawn;
	}

	/**
	 * Returns whether the connection was closed before the request was written to it, so
	 * that the server has received nothing.
	 * @return {@code true} if the attempt ended for this reason
	 */
	boolean isClosedBeforeSend() {
		return this.closedBeforeSend;
	}

	/**
	 * Returns whether the server may have cut its response because this instance did not
	 * read it in time for a slow caller, which is no failure of the server.
	 * @return {@code true} if reading had paused for long
	 */
	boolean isCutUnread() {
		return this.cutUnread;
	}

	private boolean mayBeCutUnread() {
		return this.pauses.mayHaveCausedCut(this.context.scheduler.nowMillis());
	}

	boolean isSuccessor() {
		return this.activeRequest.successor == this;
	}

	/**
	 * Returns whether the connection is established and the request is sent once the
	 * source of the generation has released it, or the connection has been checked.
	 * @return {@code true} if {@link #resumeFrom} may be called
	 */
	boolean isWaiting() {
		return this.waiting && !this.detached;
	}

	/**
	 * Returns whether the server ended its stream in the middle by closing it in order.
	 * @return {@code false} if the connection was reset, or closed by this instance
	 */
	boolean isStreamEndedByServer() {
		return this.brokenOff && this.httpCall.isClosedByServer();
	}

	boolean hasResponse() {
		return this.response != null;
	}

	ClientResponse response() {
		return this.response;
	}

	byte[] bufferedBody() {
		return this.buffer.body();
	}

	@Override
	public HttpClientCall.SendDecision beforeSend() {
		HttpClientCall.SendDecision decision = this.dispatcher.decideSend(this);
		this.sent = decision == HttpClientCall.SendDecision.SEND;
		this.withdrawn = decision == HttpClientCall.SendDecision.WITHDRAW;
		this.waiting = decision == HttpClientCall.SendDecision.WAIT;
		if (this.waiting) {
			this.dispatcher.onWaitingConnected(this);
		}
		return decision;
	}

	@Override
	public void onResponseHeaders(ClientResponse received) {
		this.response = received;
		ResponseHeadVerdict verdict = this.headReader.read(received);
		if (verdict instanceof ResponseHeadVerdict.Unusable unusable) {
			cancelAndFail(unusable.reason());
		}
		else if (verdict instanceof ResponseHeadVerdict.Refused) {
			cancel();
			this.dispatcher.outcomes().onNotExecuted(this, received.getResponseCode());
		}
		else if (verdict instanceof ResponseHeadVerdict.Relayed relayed) {
			this.streaming = relayed.stream();
		}
	}

	private void cancelAndFail(String reason) {
		cancel();
		this.dispatcher.outcomes().onAttemptFailed(this, DeliveryStatus.UNKNOWN, reason);
	}

	@Override
	public void onInvalidHead(String reason) {
		if (!this.detached) {
			cancelAndFail(reason);
		}
	}

	@Override
	public int maximumReadBytes() {
		return this.dispatcher.responseMemory().maximumResponseBytes();
	}

	@Override
	public boolean onData(ByteBuffer data) {
		if (this.detached) {
			data.position(data.limit());
			return true;
		}
		boolean continueReading = this.streaming ? onStreamData(data) : onBodyData(data);
		if (!continueReading) {
			this.pauses.pause(this.context.scheduler.nowMillis());
		}
		return continueReading;
	}

	private boolean onStreamData(ByteBuffer data) {
		boolean[] continueReading = { true };
		boolean withinSizeLimit = this.buffer.addStreamBytes(data, (event) -> {
			if (!this.detached) {
				continueReading[0] = onEvent(event);
			}
		});
		if (!withinSizeLimit) {
			cancelAndFail("event exceeds the maximum size");
		}
		return continueReading[0];
	}

	private boolean onEvent(SseEvent event) {
		this.receivedEvents++;
		if (!event.hasOnlyFields()) {
			cancelAndFail("stream contains a line that belongs to no event");
			return true;
		}
		EventSequenceTracker.Disposition disposition = this.run.classify(event);
		if (disposition == EventSequenceTracker.Disposition.GAP) {
			cancelAndFail("missing or overlapping event before event " + event.id().orElse(""));
			return true;
		}
		if (this.activeRequest.migration != null) {
			this.activeRequest.migration.recordEvent(this);
		}
		if (disposition == EventSequenceTracker.Disposition.DUPLICATE) {
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
		if (this.buffer.addBodyBytes(part)) {
			return true;
		}
		if (this.response.getResponseCode() >= LOWEST_ERROR_STATUS) {
			cancelAndFail("error response exceeds the maximum size");
			return true;
		}
		byte[] beginning = this.buffer.takeBody();
		this.activeRequest.responseWriter.startResponse(this.response.getResponseCode(),
				RelayedHeads.responseHeaders(this.response));
		return this.activeRequest.responseWriter.write(beginning);
	}

	@Override
	public void onComplete() {
		if (this.detached) {
			return;
		}
		cancelResponseTimer();
		this.detached = true;
		// The end of such a response looks the same whether it is complete or cut.
		if (framing() == ResponseFraming.CONNECTION_CLOSE && mayBeCutUnread()) {
			this.cutUnread = true;
			this.brokenOff = true;
			this.dispatcher.outcomes()
				.onAttemptFailed(this, DeliveryStatus.UNKNOWN,
						"connection closed, perhaps because the response was not read in time");
			return;
		}
		if (!this.streaming) {
			this.dispatcher.outcomes().onResponseComplete(this);
			return;
		}
		this.streamEndCheck.start(this.buffer.isInsideEvent(), this.receivedEvents == 0);
	}

	private void onStreamEndChecked(Optional<String> truncation) {
		if (truncation.isEmpty()) {
			this.dispatcher.streamRelay().completeStream(this, this.buffer.bytesAfterLastEvent());
			return;
		}
		this.brokenOff = true;
		this.connectionLost = true;
		this.dispatcher.outcomes().onAttemptFailed(this, DeliveryStatus.UNKNOWN, truncation.get());
	}

	ResponseFraming framing() {
		return ResponseFraming.of(this.response.getResponseHeaders());
	}

	@Override
	public void onFailure(DeliveryStatus deliveryStatus, String reason) {
		if (this.detached) {
			return;
		}
		this.detached = true;
		this.brokenOff = hasResponse();
		cancelResponseTimer();
		boolean notSent = !this.sent || deliveryStatus == DeliveryStatus.NOT_SENT;
		this.cutUnread = hasResponse() && mayBeCutUnread();
		this.connectionLost = !notSent && !this.cutUnread;
		if (notSent) {
			recordNotSent();
		}
		this.dispatcher.outcomes().onAttemptFailed(this, notSent ? DeliveryStatus.NOT_SENT : deliveryStatus, reason);
	}

	// An attempt that was counted as an execution turned out to be none.
	private void recordNotSent() {
		this.closedBeforeSend = this.sent && !this.withdrawn;
		this.activeRequest.possibleExecutions -= this.sent ? 1 : 0;
		this.sent = false;
	}

	private void cancelResponseTimer() {
		if (this.responseTimer != null) {
			this.responseTimer.cancel();
		}
	}

}
