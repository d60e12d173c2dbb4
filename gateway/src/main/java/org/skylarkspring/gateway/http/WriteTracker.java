package org.skylarkspring.gateway.http;

/**
 * Remembers whether any byte was written to a connection. Until then, the server cannot
 * have received any part of a request.
 */
final class WriteTracker {

	private boolean written;

	void countWritten(long bytes) {
		this.written |= bytes > 0;
	}

	boolean hasWritten() {
		return this.written;
	}

}
