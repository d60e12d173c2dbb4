package org.skylarkspring.gateway.rollout;

import java.util.Optional;

import org.skylarkspring.gateway.model.StoreRevision;

/**
 * Order to shift the traffic of a service to the servers of another version.
 *
 * @param name name of the entry
 * @param service the service
 * @param target version of the new servers
 * @param durationMillis time within which the rollout has to end, in milliseconds
 * @param revision revision of the entry
 * @param status what instances have recorded, empty if nothing yet
 */
public record Rollout(String name, String service, String target, long durationMillis, StoreRevision revision,
		Optional<RolloutStatus> status) {

	/**
	 * Returns what instances have recorded about this order. The status of an earlier
	 * order with another target says nothing about it.
	 * @return the status
	 */
	public Optional<RolloutStatus> currentStatus() {
		return this.status.filter((recorded) -> recorded.target().equals(this.target));
	}

	/**
	 * Returns whether another entry is the same order, whatever its status.
	 * @param other the other entry
	 * @return {@code true} if name, service and target are the same
	 */
	public boolean isSameOrder(Rollout other) {
		return this.name.equals(other.name) && this.service.equals(other.service) && this.target.equals(other.target);
	}

}
