package org.skylarkspring.core.model;

/**
 * State of an instance in the platform's instance list.
 */
public enum InstanceState {

	/** The instance is running. */
	LIVE,

	/** The instance is about to be removed and must not receive new requests. */
	LEAVING

}
