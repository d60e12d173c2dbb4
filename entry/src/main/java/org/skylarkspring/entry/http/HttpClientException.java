package org.skylarkspring.entry.http;

import java.io.IOException;

import org.skylarkspring.core.model.Verdict;

/**
 * Signals that no complete response to an HTTP request was received.
 */
@SuppressWarnings("serial")
public final class HttpClientException extends IOException {

	private final Verdict verdict;

	/**
	 * Creates an exception.
	 * @param message description of the failure
	 * @param verdict whether the server may have run the request
	 */
	public HttpClientException(String message, Verdict verdict) {
		super(message);
		this.verdict = verdict;
	}

	/**
	 * Returns whether the server may have run the request.
	 * @return the verdict
	 */
	public Verdict verdict() {
		return this.verdict;
	}

}
