package org.skylarkspring.gateway.port;

import java.util.Optional;

import org.skylarkspring.gateway.model.RoutingTable;
import org.skylarkspring.gateway.model.ServerRegistration;
import org.skylarkspring.gateway.model.StoredObject;

/**
 * Reads the platform's objects. An object that can't be read yields nothing.
 */
public interface ObjectDecoder {

	/**
	 * Reads the configuration.
	 * @param object the object
	 * @return the configuration, empty if the object is malformed
	 */
	Optional<RoutingTable> decodeRoutingTable(StoredObject object);

	/**
	 * Reads a server's entry.
	 * @param object the object
	 * @return the listing, empty if the entry names no server to use
	 */
	Optional<ServerRegistration> decodeServerRegistration(StoredObject object);

}
