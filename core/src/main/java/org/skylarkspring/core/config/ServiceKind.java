package org.skylarkspring.core.config;

/**
 * What stands behind a service.
 */
public enum ServiceKind {

	/** Model engines that stream generations. */
	GENERATION,

	/** Plain HTTP servers. */
	PLAIN

}
