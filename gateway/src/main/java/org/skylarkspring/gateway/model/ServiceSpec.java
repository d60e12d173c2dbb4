package org.skylarkspring.gateway.model;

import java.util.Optional;

/**
 * Service that requests are forwarded to.
 *
 * @param name name of the service
 * @param coldRequestsPerSecond requests per second that a cold server accepts, 0 for no
 * limit
 * @param engine capacity and capabilities of the servers if they are model engines, empty
 * for plain services
 */
public record ServiceSpec(String name, double coldRequestsPerSecond, Optional<EngineSpec> engine) {
}
