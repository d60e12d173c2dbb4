package org.skylarkspring.gateway.internal;

import java.nio.ByteBuffer;
import java.util.function.Consumer;

import io.undertow.client.ClientRequest;
import io.undertow.client.ClientResponse;

import org.skylarkspring.gateway.http.DeliveryStatus;
import org.skylarkspring.gateway.http.HttpClientCall;
import org.skylarkspring.gateway.http.HttpConnector;

/**
 * Finds out whether a process listens at an address, by a connection on which nothing is
 * sent. A process that has crashed has ended all its connections, in the same way as one
 * that has finished its responses, but new connections to it are refused.
 */
final class ConnectionProbe implements HttpClientCall.Listener {

	private final Consumer<Result> callback;

	private final HttpClientCall call;

	private boolean established;

	private ConnectionProbe(HttpConnector connector, Consumer<Result> callback) {
		this.callback = callback;
		this.call = new HttpClientCall(connector, this);
	}

	/**
	 * Opens a connection, which is closed as soon as it is established.
	 * @param connector opens the connection
	 * @param address the IP address and port
	 * @param timeoutMillis longest time until the connection is established, in
	 * milliseconds
	 * @param callback receives the result, exactly once unless the probe is cancelled
	 * @return the probe
	 */
	static ConnectionProbe start(HttpConnector connector, String address, long timeoutMillis,
			Consumer<Result> callback) {
		ConnectionProbe probe = new ConnectionProbe(connector, callback);
		probe.call.start(address, new ClientRequest(), new byte[0], timeoutMillis);
		return probe;
	}

	/** Cancels the probe. Has no effect once it has ended. */
	void cancel() {
		this.call.cancel();
	}

	@Override
	public HttpClientCall.SendDecision beforeSend() {
		this.established = true;
		return HttpClientCall.SendDecision.WITHDRAW;
	}

	// The end of each probe, because a call that is withdrawn fails too.
	@Override
	public void onFailure(DeliveryStatus outcome, String reason) {
		if (this.established) {
			this.callback.accept(Result.LISTENING);
		}
		else {
			this.callback
				.accept(reason.equals(HttpClientCall.CONNECTION_REFUSED_REASON) ? Result.REFUSED : Result.UNKNOWN);
		}
	}

	@Override
	public void onResponseHeaders(ClientResponse response) {
		throw unexpectedResponse();
	}

	@Override
	public boolean onData(ByteBuffer data) {
		throw unexpectedResponse();
	}

	@Override
	public void onComplete() {
		throw unexpectedResponse();
	}

	private static IllegalStateException unexpectedResponse() {
		return new IllegalStateException("response to a connection without a request");
	}

	/**
	 * Result of a probe.
	 */
	enum Result {

		/** A process accepted the connection. */
		LISTENING,

		/** No process listens at the address. */
		REFUSED,

		/** The connection was not established, for another reason. */
		UNKNOWN

	}

}
