package org.skylarkspring.core.model;

/**
 * State of an instance in the platform's list.
 */
public enum InstanceState {

	/** The instance runs. */
	LIVE,

	/** The instance is about to be taken away and must receive no new work. */
	LEAVING

}
