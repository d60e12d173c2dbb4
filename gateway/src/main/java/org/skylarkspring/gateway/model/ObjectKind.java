package org.skylarkspring.gateway.model;

/**
 * Kinds of objects in the platform's store.
 */
public enum ObjectKind {

	/** The configuration that operators write. */
	CONFIGURATION,

	/** Backend servers, listed by themselves. */
	SERVERS,

	/** Data centres that operators have taken out. */
	EVACUATIONS,

	/** Instances of this system, listed by themselves. */
	INSTANCES

}
