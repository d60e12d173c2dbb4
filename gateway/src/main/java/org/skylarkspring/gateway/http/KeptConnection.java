package org.skylarkspring.gateway.http;

import java.io.Closeable;
import java.io.IOException;

import io.undertow.client.ClientCallback;
import io.undertow.client.ClientConnection;
import io.undertow.client.ClientExchange;
import io.undertow.client.ClientRequest;
import org.xnio.IoUtils;

/**
 * Connection that is used for one call after another and whose responses are checked. The
 * methods must be called on the I/O thread that owns the connection.
 */
public final class KeptConnection implements Closeable {

	private final ClientConnection connection;

	private final RawConnection rawConnection;

	private final ResponseChecks checks;

	KeptConnection(ClientConnection connection, RawConnection rawConnection, ResponseChecks checks) {
		this.connection = connection;
		this.rawConnection = rawConnection;
		this.checks = checks;
	}

	/**
	 * Sends a request after the response to the one before was received.
	 * @param request request line and headers
	 * @param callback receives the exchange, on which the response arrives
	 */
	public void sendRequest(ClientRequest request, ClientCallback<ClientExchange> callback) {
		this.checks.restart();
		this.connection.sendRequest(request, callback);
	}

	/**
	 * Records that the head of the response is complete, so that the body may be long.
	 */
	public void markHeadComplete() {
		this.checks.markHeadComplete();
	}

	/**
	 * Fails if the body of the response is chunked and the server wrote something else
	 * into it, or if the head does not say that it is chunked. To be called at the end of
	 * the body.
	 * @throws IOException if the body cannot be trusted
	 */
	public void requireValidBody() throws IOException {
		this.checks.requireValidBody();
	}

	/**
	 * Describes why no response could be read.
	 * @param failure exception of the HTTP client
	 * @return description for logs
	 */
	public String describe(IOException failure) {
		return this.checks.describe(failure);
	}

	/**
	 * Returns whether the connection can be used for a further call.
	 * @return {@code false} if it was closed by either side
	 */
	public boolean isOpen() {
		return this.connection.isOpen();
	}

	/** Closes the connection at once, also while a response is incomplete. */
	@Override
	public void close() {
		this.rawConnection.close();
		IoUtils.safeClose(this.connection);
	}

}
