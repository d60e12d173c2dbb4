package org.skylarkspring.gateway.http;

import org.xnio.IoFuture;
import org.xnio.IoUtils;
import org.xnio.StreamConnection;

/**
 * Connection of one call, below the HTTP client, which closes no connection at once: one
 * that is not established stays open until the system gives it up after two minutes, and
 * one whose response is incomplete until the server sends or closes, for up to ten
 * seconds, in which the server does not see that nobody reads its response.
 */
final class RawConnection {

	/** Attempt to establish the connection, {@code null} until it is started. */
	private IoFuture<StreamConnection> attempt;

	/** The established connection, {@code null} until then. */
	private StreamConnection connection;

	void onStarted(IoFuture<StreamConnection> started) {
		this.attempt = started;
	}

	void onEstablished(StreamConnection established) {
		this.connection = established;
	}

	/** Closes the connection at once, whether it is established or not. */
	void close() {
		if (this.attempt != null) {
			this.attempt.cancel();
		}
		IoUtils.safeClose(this.connection);
	}

}
