package org.skylarkspring.gateway.port;

import java.util.Optional;

import org.skylarkspring.gateway.model.RoutingTable;
import org.skylarkspring.gateway.model.ServerRegistration;
import org.skylarkspring.gateway.model.StoredObject;

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

}
