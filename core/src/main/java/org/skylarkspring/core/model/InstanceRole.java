package org.skylarkspring.core.model;

/**
 * What an instance in the platform's list runs.
 */
public enum InstanceRole {

	/** An entry instance of this system. */
	ENTRY,

	/** A backend server. */
	BACKEND

}
