package org.skylarkspring.core.model;

/**
 * Whether a request may have run on a backend server.
 */
public enum Verdict {

	/**
	 * The request has not run: no part of it can have reached a server that may execute
	 * it.
	 */
	NOT_RUN("not-run"),

	/** The request may or may not have run. */
	MAY_HAVE_RUN("may-have-run"),

	/** The request has run. */
	RAN("ran");

	private final String wireName;

	Verdict(String wireName) {
		this.wireName = wireName;
	}

	/**
	 * Returns the name used in problem documents and in the last event of a stream.
	 * @return the name, never {@code null}
	 */
	public String wireName() {
		return this.wireName;
	}

}
