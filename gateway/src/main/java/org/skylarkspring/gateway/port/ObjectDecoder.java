package org.skylarkspring.gateway.port;

import java.util.Optional;

import org.skylarkspring.gateway.model.RoutingTable;
import org.skylarkspring.gateway.model.ServerRegistration;
import org.skylarkspring.gateway.model.StoredObject;
import org.skylarkspring.gateway.rollout.Rollout;
import org.skylarkspring.gateway.rollout.RolloutStatus;

/**
 * Decodes the objects of the platform's store. An object that cannot be decoded yields an
 * empty result.
 */
public interface ObjectDecoder {

	/**
	 * Decodes the routing configuration.
	 * @param object the object
	 * @return the routing table, empty if the object is malformed
	 */
	Optional<RoutingTable> decodeRoutingTable(StoredObject object);

	/**
	 * Decodes the registration of a server.
	 * @param object the object
	 * @return the registration, empty if the object describes no usable server
	 */
	Optional<ServerRegistration> decodeServerRegistration(StoredObject object);

	/**
	 * Decodes a rollout with its status.
	 * @param object the object
	 * @return the rollout, empty if the object is malformed
	 */
	default Optional<Rollout> decodeRollout(StoredObject object) {
		return Optional.empty();
	}

	/**
	 * Encodes the status of a rollout.
	 * @param status the status
	 * @return the status as JSON text
	 */
	default String encodeRolloutStatus(RolloutStatus status) {
		throw new UnsupportedOperationException("rollouts are not supported");
	}

}
