package org.skylarkspring.gateway.placement;

import java.util.Optional;

import org.skylarkspring.gateway.model.ServerRegistration;

/**
 * Intended use of a server.
 *
 * @param server the server
 * @param request the request that it would run
 * @param source server that runs the generation now, if it is to continue on another one
 * or to be backed up there
 */
public record ServerUse(ServerRegistration server, PlacementRequest request, Optional<ServerRegistration> source) {
}
