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
final class CallerConnections {

	private final Map<Closeable, Call> serving = new LinkedHashMap<>();

	/** Start of the idle time by connection, the longest idle first. */
	private final Map<Closeable, Long> idleSince = new LinkedHashMap<>();

	/**
	 * A request has arrived on a connection.
	 * @param connection the connection
	 * @return whether it is the first one, so that the end of the connection has to be
	 * listened for
	 */
	boolean requestArrived(Closeable connection) {
		boolean known = this.idleSince.remove(connection) != null || this.serving.containsKey(connection);
		this.serving.putIfAbsent(connection, null);
		return !known;
	}

	/**
	 * A connection serves a call.
	 * @param connection the connection
	 * @param call the call
	 */
	void serves(Closeable connection, Call call) {
		this.serving.replace(connection, call);
	}

	/**
	 * An answer has been written whole.
	 * @param connection the connection
	 * @param nowMillis current time
	 */
	void answered(Closeable connection, long nowMillis) {
		if (this.serving.containsKey(connection)) {
			this.serving.remove(connection);
			this.idleSince.put(connection, nowMillis);
		}
	}

	/**
	 * A connection has ended.
	 * @param connection the connection
	 * @return the call it served
	 */
	Optional<Call> ended(Closeable connection) {
		this.idleSince.remove(connection);
		return Optional.ofNullable(this.serving.remove(connection));
	}

	/**
	 * Closes the connections that have been idle for too long.
	 * @param nowMillis current time
	 * @param idleTimeoutMillis longest time without a request
	 * @return number of connections closed
	 */
	int closeIdle(long nowMillis, long idleTimeoutMillis) {
		int closed = 0;
		Iterator<Map.Entry<Closeable, Long>> oldest = this.idleSince.entrySet().iterator();
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
		return this.serving.size() + this.idleSince.size();
	}

}
