package org.skylarkspring.core.internal;

import java.util.LinkedHashMap;
import java.util.Map;

import org.skylarkspring.core.model.StoreResponse;
import org.skylarkspring.core.model.StoredObject.Lease;

/**
 * Acquires, renews and releases named leases by conditional writes to the platform's
 * store. Clocks of different instances are never compared: the holder measures the
 * duration of a lease from the time at which it sent the renewal, and another instance
 * takes a lease over only after the renewal number has not changed for longer than the
 * lease duration on that instance's own clock.
 */
final class LeaseSystem {

	static final long LEASE_DURATION_MILLIS = 10_000;

	private static final long RENEWAL_INTERVAL_MILLIS = 4_000;

	/** Time before the end of a lease at which its holder stops using it. */
	private static final long HOLDER_SAFETY_MARGIN_MILLIS = 1_000;

	/** Time after the end of a lease from which another instance may take it over. */
	private static final long TAKEOVER_SAFETY_MARGIN_MILLIS = 2_000;

	private static final long RETRY_INTERVAL_MILLIS = 1_000;

	private static final long OBSERVATION_INTERVAL_MILLIS = 3_000;

	private final CoreContext context;

	private final Map<String, LeaseEntry> leases = new LinkedHashMap<>();

	LeaseSystem(CoreContext context) {
		this.context = context;
	}

	void setWanted(String name, boolean wanted) {
		LeaseEntry lease = this.leases.get(name);
		if (lease == null && wanted) {
			lease = new LeaseEntry(name);
			this.leases.put(name, lease);
		}
		if (lease != null) {
			lease.wanted = wanted;
		}
	}

	boolean isHeld(String name) {
		LeaseEntry lease = this.leases.get(name);
		return lease != null && lease.held && this.context.nowMillis < lease.heldUntilMillis;
	}

	long fencingNumber(String name) {
		LeaseEntry lease = this.leases.get(name);
		return (lease != null) ? lease.fencingNumber : 0;
	}

	void tick() {
		this.leases.values().forEach(this::advance);
		this.leases.values().removeIf((lease) -> !lease.wanted && !lease.held && !lease.operationPending);
	}

	private void advance(LeaseEntry lease) {
		if (lease.held && this.context.nowMillis >= lease.heldUntilMillis) {
			markNotHeld(lease, "expired");
		}
		if (lease.operationPending || this.context.nowMillis < lease.nextActionAtMillis) {
			return;
		}
		if (lease.held && lease.wanted) {
			write(lease, lease.version, new Lease(this.context.instanceId, lease.fencingNumber, LEASE_DURATION_MILLIS,
					lease.renewalNumber + 1));
		}
		else if (lease.held) {
			release(lease);
		}
		else if (lease.wanted) {
			read(lease);
		}
	}

	private void read(LeaseEntry lease) {
		lease.operationPending = true;
		this.context.storeOperations.read(objectKey(lease), (response) -> {
			lease.operationPending = false;
			lease.nextActionAtMillis = this.context.nowMillis + RETRY_INTERVAL_MILLIS;
			if (response instanceof StoreResponse.NotFound) {
				write(lease, 0, new Lease(this.context.instanceId, 1, LEASE_DURATION_MILLIS, 0));
			}
			else if (response instanceof StoreResponse.Found found && found.value() instanceof Lease current) {
				acquireIfAvailable(lease, found.version(), current);
			}
		});
	}

	private void acquireIfAvailable(LeaseEntry lease, long version, Lease current) {
		boolean own = current.holder().equals(this.context.instanceId);
		boolean free = current.holder().isEmpty();
		if (!current.equals(lease.lastObserved)) {
			lease.lastObserved = current;
			lease.observedAtMillis = this.context.nowMillis;
		}
		long unchangedMillis = this.context.nowMillis - lease.observedAtMillis;
		boolean expired = unchangedMillis >= current.durationMillis() + TAKEOVER_SAFETY_MARGIN_MILLIS;
		if (own || free || expired) {
			long nextFencingNumber = own ? current.fencingNumber() : current.fencingNumber() + 1;
			write(lease, version, new Lease(this.context.instanceId, nextFencingNumber, LEASE_DURATION_MILLIS,
					current.renewal() + 1));
			return;
		}
		lease.nextActionAtMillis = this.context.nowMillis + OBSERVATION_INTERVAL_MILLIS;
	}

	private void write(LeaseEntry lease, long expectedVersion, Lease value) {
		long sentAtMillis = this.context.nowMillis;
		lease.operationPending = true;
		this.context.storeOperations.write(objectKey(lease), expectedVersion, value, (response) -> {
			lease.operationPending = false;
			lease.nextActionAtMillis = this.context.nowMillis + RETRY_INTERVAL_MILLIS;
			if (response instanceof StoreResponse.Written written) {
				markHeld(lease, written.version(), value, sentAtMillis);
			}
			else if (response instanceof StoreResponse.Found || response instanceof StoreResponse.NotFound) {
				markNotHeld(lease, "lost, lease object changed or deleted in the store");
			}
			else if (response instanceof StoreResponse.ResponseLost) {
				refreshAfterLostResponse(lease);
			}
		});
	}

	private void markHeld(LeaseEntry lease, long version, Lease value, long sentAtMillis) {
		lease.version = version;
		lease.fencingNumber = value.fencingNumber();
		lease.renewalNumber = value.renewal();
		lease.lastObserved = value;
		lease.heldUntilMillis = sentAtMillis + value.durationMillis() - HOLDER_SAFETY_MARGIN_MILLIS;
		lease.nextActionAtMillis = sentAtMillis + RENEWAL_INTERVAL_MILLIS;
		if (!lease.held) {
			this.context.emitStateChange("lease " + lease.name, "acquired, fencing number " + lease.fencingNumber);
		}
		lease.held = true;
	}

	// The write may have taken effect; the next renewal needs the version in the store.
	private void refreshAfterLostResponse(LeaseEntry lease) {
		lease.operationPending = true;
		this.context.storeOperations.read(objectKey(lease), (response) -> {
			lease.operationPending = false;
			if (response instanceof StoreResponse.Found found && found.value() instanceof Lease current) {
				boolean own = current.holder().equals(this.context.instanceId);
				lease.version = own ? found.version() : lease.version;
				lease.renewalNumber = own ? current.renewal() : lease.renewalNumber;
			}
		});
	}

	private void release(LeaseEntry lease) {
		markNotHeld(lease, "released");
		lease.operationPending = true;
		Lease free = new Lease("", lease.fencingNumber, LEASE_DURATION_MILLIS, lease.renewalNumber + 1);
		this.context.storeOperations.write(objectKey(lease), lease.version, free,
				(response) -> lease.operationPending = false);
	}

	private void markNotHeld(LeaseEntry lease, String reason) {
		if (lease.held) {
			lease.held = false;
			this.context.emitStateChange("lease " + lease.name, reason);
		}
	}

	private static String objectKey(LeaseEntry lease) {
		return "leases/" + lease.name;
	}

}
