package org.skylarkspring.gateway.model;

import java.util.Optional;

/**
 * A service that requests are forwarded to.
 *
 * @param name name of the service
 * @param coldRequestsPerSecond requests a second that a cold server bears
 * @param engine what the servers can do if they are model engines
 */
public record ServiceSpec(String name, double coldRequestsPerSecond, Optional<EngineSpec> engine) {
}
