package org.skylarkspring.core.internal;

import java.util.LinkedHashMap;
import java.util.Map;

import org.skylarkspring.core.model.StoreResponse;
import org.skylarkspring.core.model.StoredObject.Lease;

/**
 * Holds leases on named duties by conditional writes to the platform's store. No clocks
 * are compared: a holder counts from the moment it sent the renewal, and a lease is taken
 * over only after its renewal number stood still for longer than its duration on the
 * clock of the instance that takes it over.
 */
final class LeaseSystem {

	static final long LEASE_DURATION_MILLIS = 10_000;

	private static final long RENEWAL_INTERVAL_MILLIS = 4_000;

	/** Time before its end at which a holder stops to use a lease. */
	private static final long HOLDER_SAFETY_MARGIN_MILLIS = 1_000;

	/** Time after its end from which another instance may take a lease over. */
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
			markLost(lease, "expired");
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
		this.context.storeOperations.read(objectKey(lease), (answer) -> {
			lease.operationPending = false;
			lease.nextActionAtMillis = this.context.nowMillis + RETRY_INTERVAL_MILLIS;
			if (answer instanceof StoreResponse.NotFound) {
				write(lease, 0, new Lease(this.context.instanceId, 1, LEASE_DURATION_MILLIS, 0));
			}
			else if (answer instanceof StoreResponse.Found found && found.value() instanceof Lease current) {
				takeOverIfExpired(lease, found.version(), current);
			}
		});
	}

	private void takeOverIfExpired(LeaseEntry lease, long version, Lease current) {
		boolean own = current.holder().equals(this.context.instanceId);
		boolean free = current.holder().isEmpty();
		if (!current.equals(lease.lastObserved)) {
			lease.lastObserved = current;
			lease.observedAtMillis = this.context.nowMillis;
		}
		long silentMillis = this.context.nowMillis - lease.observedAtMillis;
		boolean expired = silentMillis >= current.durationMillis() + TAKEOVER_SAFETY_MARGIN_MILLIS;
		if (own || free || expired) {
			long fencing = own ? current.fencingNumber() : current.fencingNumber() + 1;
			write(lease, version,
					new Lease(this.context.instanceId, fencing, LEASE_DURATION_MILLIS, current.renewal() + 1));
			return;
		}
		lease.nextActionAtMillis = this.context.nowMillis + OBSERVATION_INTERVAL_MILLIS;
	}

	private void write(LeaseEntry lease, long expectedVersion, Lease value) {
		long sentAtMillis = this.context.nowMillis;
		lease.operationPending = true;
		this.context.storeOperations.write(objectKey(lease), expectedVersion, value, (answer) -> {
			lease.operationPending = false;
			lease.nextActionAtMillis = this.context.nowMillis + RETRY_INTERVAL_MILLIS;
			if (answer instanceof StoreResponse.Written written) {
				markHeld(lease, written.version(), value, sentAtMillis);
			}
			else if (answer instanceof StoreResponse.Found || answer instanceof StoreResponse.NotFound) {
				markLost(lease, "taken over");
			}
			else if (answer instanceof StoreResponse.ResponseLost) {
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
			this.context.emitStateChange("lease " + lease.name, "held, fencing number " + lease.fencingNumber);
		}
		lease.held = true;
	}

	// A write may have taken effect; the next renewal needs the version in the store.
	private void refreshAfterLostResponse(LeaseEntry lease) {
		lease.operationPending = true;
		this.context.storeOperations.read(objectKey(lease), (answer) -> {
			lease.operationPending = false;
			if (answer instanceof StoreResponse.Found found && found.value() instanceof Lease current) {
				boolean own = current.holder().equals(this.context.instanceId);
				lease.version = own ? found.version() : lease.version;
				lease.renewalNumber = own ? current.renewal() : lease.renewalNumber;
			}
		});
	}

	private void release(LeaseEntry lease) {
		markLost(lease, "released");
		lease.operationPending = true;
		Lease free = new Lease("", lease.fencingNumber, LEASE_DURATION_MILLIS, lease.renewalNumber + 1);
		this.context.storeOperations.write(objectKey(lease), lease.version, free,
				(answer) -> lease.operationPending = false);
	}

	private void markLost(LeaseEntry lease, String reason) {
		if (lease.held) {
			lease.held = false;
			this.context.emitStateChange("lease " + lease.name, reason);
		}
	}

	private static String objectKey(LeaseEntry lease) {
		return "leases/" + lease.name;
	}

}
