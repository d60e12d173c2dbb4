package org.skylarkspring.core.config;

/**
 * Kind of backend that implements a service.
 */
public enum ServiceKind {

	/** Model engines that stream generated tokens. */
	GENERATION,

	/** HTTP servers that return one complete response. */
	PLAIN

}
