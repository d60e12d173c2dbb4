package org.skylarkspring.core.internal;

import org.skylarkspring.core.model.StoredObject;

/**
 * What this instance knows of one lease.
 */
final class LeaseEntry {

	final String name;

	boolean wanted;

	boolean operationPending;

	boolean held;

	/** End of the lease on this instance's own clock. */
	long heldUntilMillis;

	long fencingNumber;

	long renewalNumber;

	long version;

	StoredObject.Lease lastObserved;

	long observedAtMillis;

	long nextActionAtMillis;

	LeaseEntry(String name) {
		this.name = name;
	}

}
