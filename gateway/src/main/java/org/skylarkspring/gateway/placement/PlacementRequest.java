package org.skylarkspring.gateway.placement;

import org.skylarkspring.gateway.model.RouteSpec;
import org.skylarkspring.gateway.model.ServiceSpec;

/**
 * What a request needs of a server.
 *
 * @param service service of the request
 * @param route route of the request
 * @param reservedTokens amount of KV cache memory that the request needs, in tokens, 0
 * for plain services
 * @param promptTokens number of tokens of the prompt, 0 if there is none
 * @param bodyBytes size of the body
 * @param remainingMillis time left until the caller's deadline, in milliseconds
 */
public record PlacementRequest(ServiceSpec service, RouteSpec route, long reservedTokens, long promptTokens,
		long bodyBytes, long remainingMillis) {
}
