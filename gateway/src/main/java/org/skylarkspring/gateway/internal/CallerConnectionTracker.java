package org.skylarkspring.gateway.internal;

import java.io.Closeable;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.xnio.IoUtils;

/**
 * Tracks the open connections of callers: which request each one serves, or since when it
 * has been idle. Closes connections whose idle timeout has expired.
 */
final class CallerConnectionTracker {

	/** Active connections; the request is {@code null} until it is assigned. */
	private final Map<Closeable, ActiveRequest> requestsByConnection = new LinkedHashMap<>();

	/**
	 * Start of the idle time by connection, ordered from the longest idle to the
	 * shortest.
	 */
	private final Map<Closeable, Long> idleSinceMillis = new LinkedHashMap<>();

	/**
	 * Records that a request has arrived on a connection.
	 * @param connection the connection
	 * @return {@code true} if the connection was not tracked before, so that a close
	 * listener has to be added
	 */
	boolean onRequestArrived(Closeable connection) {
		boolean known = this.idleSinceMillis.remove(connection) != null
				|| this.requestsByConnection.containsKey(connection);
		this.requestsByConnection.putIfAbsent(connection, null);
		return !known;
	}

	/**
	 * Assigns a request to the connection that it arrived on.
	 * @param connection the connection
	 * @param request the request
	 */
	void assignRequest(Closeable connection, ActiveRequest request) {
		this.requestsByConnection.replace(connection, request);
	}

	/**
	 * Records that a response is written and the connection is idle. Has no effect if the
	 * connection was removed before.
	 * @param connection the connection
	 * @param nowMillis current time
	 */
	void markIdle(Closeable connection, long nowMillis) {
		if (this.requestsByConnection.containsKey(connection)) {
			this.requestsByConnection.remove(connection);
			this.idleSinceMillis.put(connection, nowMillis);
		}
	}

	/**
	 * Removes a connection that was closed.
	 * @param connection the connection
	 * @return the request it was serving, if any
	 */
	Optional<ActiveRequest> remove(Closeable connection) {
		this.idleSinceMillis.remove(connection);
		return Optional.ofNullable(this.requestsByConnection.remove(connection));
	}

	/**
	 * Closes the connections whose idle timeout has expired.
	 * @param nowMillis current time
	 * @param idleTimeoutMillis maximum time without a request
	 * @return number of connections closed
	 */
	int closeIdleConnections(long nowMillis, long idleTimeoutMillis) {
		int closed = 0;
		Iterator<Map.Entry<Closeable, Long>> longestIdleFirst = this.idleSinceMillis.entrySet().iterator();
		while (longestIdleFirst.hasNext()) {
			Map.Entry<Closeable, Long> idleEntry = longestIdleFirst.next();
			if (nowMillis - idleEntry.getValue() < idleTimeoutMillis) {
				break;
			}
			longestIdleFirst.remove();
			IoUtils.safeClose(idleEntry.getKey());
			closed++;
		}
		return closed;
	}

	/**
	 * Returns the number of connections that serve a request, from its head to the last
	 * byte of the response.
	 * @return number of requests that would be cut if the process ended
	 */
	int activeCount() {
		return this.requestsByConnection.size();
	}

	/**
	 * Returns the number of tracked connections.
	 * @return number of connections, active and idle
	 */
	int size() {
		return this.requestsByConnection.size() + this.idleSinceMillis.size();
	}

}
