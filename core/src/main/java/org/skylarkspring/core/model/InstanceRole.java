package org.skylarkspring.core.model;

/**
 * Role of an instance in the platform's instance list.
 */
public enum InstanceRole {

	/** An entry instance of this system. */
	ENTRY,

	/** A backend server. */
	BACKEND

}
