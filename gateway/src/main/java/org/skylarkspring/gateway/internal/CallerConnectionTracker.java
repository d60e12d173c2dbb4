package org.skylarkspring.gateway.internal;

import java.io.Closeable;
import java.util.Iterator;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;

import org.xnio.IoUtils;

/**
 * Table of the connections callers keep open: which call each serves, or since when it
 * has been idle. Closes those idle for longer than allowed.
 */
final class CallerConnectionTracker {

	private final Map<Closeable, ActiveRequest> requestsByConnection = new LinkedHashMap<>();

	/** Start of the idle time by connection, the longest idle first. */
	private final Map<Closeable, Long> idleSinceMillis = new LinkedHashMap<>();

	/**
	 * A request has arrived on a connection.
	 * @param connection the connection
	 * @return whether it is the first one, so that the end of the connection has to be
	 * listened for
	 */
	boolean onRequestArrived(Closeable connection) {
		boolean known = this.idleSinceMillis.remove(connection) != null
				|| this.requestsByConnection.containsKey(connection);
		this.requestsByConnection.putIfAbsent(connection, null);
		return !known;
	}

	/**
	 * A connection serves a call.
	 * @param connection the connection
	 * @param call the call
	 */
	void assignRequest(Closeable connection, ActiveRequest call) {
		this.requestsByConnection.replace(connection, call);
	}

	/**
	 * An answer has been written whole.
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
	 * A connection has ended.
	 * @param connection the connection
	 * @return the call it served
	 */
	Optional<ActiveRequest> remove(Closeable connection) {
		this.idleSinceMillis.remove(connection);
		return Optional.ofNullable(this.requestsByConnection.remove(connection));
	}

	/**
	 * Closes the connections that have been idle for too long.
	 * @param nowMillis current time
	 * @param idleTimeoutMillis longest time without a request
	 * @return number of connections closed
	 */
	int closeIdleConnections(long nowMillis, long idleTimeoutMillis) {
		int closed = 0;
		Iterator<Map.Entry<Closeable, Long>> oldest = this.idleSinceMillis.entrySet().iterator();
		while (oldest.hasNext()) {
			Map.Entry<Closeable, Long> row = oldest.next();
			if (nowMillis - row.getValue() < idleTimeoutMillis) {
				break;
			}
			oldest.remove();
			IoUtils.safeClose(row.getKey());
			closed++;
		}
		return closed;
	}

	/**
	 * Returns the number of connections known.
	 * @return the number
	 */
	int size() {
		return this.requestsByConnection.size() + this.idleSinceMillis.size();
	}

}
