package org.skylarkspring.gateway.internal;

import java.io.IOException;
import java.nio.ByteBuffer;

import io.undertow.connector.PooledByteBuffer;
import io.undertow.server.HttpServerExchange;
import io.undertow.server.protocol.http.HttpServerConnection;
import org.xnio.conduits.AbstractStreamSourceConduit;
import org.xnio.conduits.StreamSourceConduit;

/**
 * Reads from the connection of a caller without the empty lines before a request, and
 * keeps the target of the current request as it was received. The HTTP server reads
 * request heads only with {@link #read(ByteBuffer)}.
 */
final class RequestLineConduit extends AbstractStreamSourceConduit<StreamSourceConduit> {

	private final RequestLineScanner scanner = new RequestLineScanner();

	private boolean nextRequestExpected = true;

	RequestLineConduit(StreamSourceConduit next) {
		super(next);
	}

	/**
	 * Returns the conduit of the connection that a request arrived on.
	 * @param exchange the exchange
	 * @return the conduit
	 * @throws ClassCastException if the connection was not accepted by a
	 * {@link CallerListener}
	 */
	static RequestLineConduit of(HttpServerExchange exchange) {
		return (RequestLineConduit) ((HttpServerConnection) exchange.getConnection()).getOriginalSourceConduit();
	}

	@Override
	public int read(ByteBuffer destination) throws IOException {
		int start = destination.position();
		int count = super.read(destination);
		if (count <= 0) {
			return count;
		}
		ByteBuffer received = destination.duplicate().flip().position(start);
		this.scanner.scan(received);
		int kept = received.remaining();
		if (kept < count) {
			destination.position(start).put(received);
		}
		return kept;
	}

	/** Records that the head of a request has been received. */
	void onRequestArrived() {
		this.nextRequestExpected = false;
	}

	/**
	 * Expects the next request, whose beginning may have been received. Has no effect if
	 * it is expected already.
	 * @param exchange the exchange, whose request is complete
	 */
	void expectRequestAfter(HttpServerExchange exchange) {
		if (this.nextRequestExpected) {
			return;
		}
		this.nextRequestExpected = true;
		this.scanner.expectRequest();
		HttpServerConnection connection = (HttpServerConnection) exchange.getConnection();
		PooledByteBuffer received = connection.isOpen() ? connection.getExtraBytes() : null;
		if (received != null) {
			this.scanner.scan(received.getBuffer());
		}
	}

	/**
	 * Returns path and query of the current request as they were received.
	 * @param exchange the exchange, after which no request is expected yet
	 * @return path and query, without scheme and host if the target includes them
	 */
	String pathAndQuery(HttpServerExchange exchange) {
		String target = this.scanner.target();
		if (!target.startsWith(exchange.getRequestURI())) {
			throw new IllegalStateException(
					"request target " + target + " does not start with path " + exchange.getRequestURI());
		}
		return exchange.isHostIncludedInRequestURI() ? withoutHost(target) : target;
	}

	private static String withoutHost(String target) {
		int end = target.indexOf("://") + "://".length();
		while (end < target.length() && target.charAt(end) != '/' && target.charAt(end) != '?') {
			end++;
		}
		String pathAndQuery = target.substring(end);
		return pathAndQuery.startsWith("/") ? pathAndQuery : "/" + pathAndQuery;
	}

}
