package org.skylarkspring.core.model;

/**
 * Says whether a request may have run on a backend server.
 */
public enum Verdict {

	/** No byte of the request can have reached a server that may act on it. */
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
	 * Returns the name used in problem documents and terminal events.
	 * @return the name, never {@code null}
	 */
	public String wireName() {
		return this.wireName;
	}

}
