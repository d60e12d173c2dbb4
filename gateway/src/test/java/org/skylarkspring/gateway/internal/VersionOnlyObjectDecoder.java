package org.skylarkspring.gateway.internal;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.skylarkspring.gateway.model.CallerLimits;
import org.skylarkspring.gateway.model.RoutingTable;
import org.skylarkspring.gateway.model.ServerRegistration;
import org.skylarkspring.gateway.model.StoredObject;
import org.skylarkspring.gateway.port.ObjectDecoder;

/**
 * Decoder that reads only the version of a configuration and decodes no server
 * registrations.
 */
final class VersionOnlyObjectDecoder implements ObjectDecoder {

	@Override
	public Optional<RoutingTable> decodeRoutingTable(StoredObject object) {
		return Optional.of(new RoutingTable(object.content().get("version").getAsLong(), List.of(), Map.of(), Map.of(),
				true, new CallerLimits(1, 1, 1, 1)));
	}

	@Override
	public Optional<ServerRegistration> decodeServerRegistration(StoredObject object) {
		return Optional.empty();
	}

}
