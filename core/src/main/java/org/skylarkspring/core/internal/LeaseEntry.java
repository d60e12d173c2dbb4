package org.skylarkspring.core.internal;

import org.skylarkspring.core.model.StoredObject;

/**
 * State of one lease on this instance.
 */
final class LeaseEntry {

	final String name;

	/** Whether this instance should acquire or keep the lease. */
	boolean wanted;

	boolean operationPending;

	boolean held;

	/** Time until which this instance may use the lease, on its own clock. */
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
