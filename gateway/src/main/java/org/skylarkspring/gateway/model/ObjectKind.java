package org.skylarkspring.gateway.model;

/**
 * Kinds of objects in the platform's store.
 */
public enum ObjectKind {

	/** Configuration written by operators. */
	CONFIGURATION,

	/** Backend servers, which register themselves. */
	SERVERS,

	/** Data centres that operators have evacuated. */
	EVACUATIONS,

	/** Instances of this system, which register themselves. */
	INSTANCES,

	/** Reports of instances that a server crashed on a prompt. */
	PROMPT_CRASHES,

	/** Orders to shift the traffic of a service to servers of another version. */
	ROLLOUTS

}
