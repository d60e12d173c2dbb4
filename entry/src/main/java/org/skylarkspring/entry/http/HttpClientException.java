package org.skylarkspring.entry.http;

import java.io.IOException;

import org.skylarkspring.core.model.Verdict;

/**
 * A call that got no whole response.
 */
@SuppressWarnings("serial")
public final class HttpClientException extends IOException {

	private final Verdict verdict;

	/**
	 * Creates a failure.
	 * @param message what went wrong
	 * @param verdict whether the call may have run
	 */
	public HttpClientException(String message, Verdict verdict) {
		super(message);
		this.verdict = verdict;
	}

	/**
	 * Returns whether the call may have run.
	 * @return the verdict
	 */
	public Verdict verdict() {
		return this.verdict;
	}

}
