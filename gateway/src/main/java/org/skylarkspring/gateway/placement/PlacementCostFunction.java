package org.skylarkspring.gateway.placement;

import java.util.Optional;

import org.skylarkspring.gateway.pace.ServicePaces;

/**
 * Cost of placing a request on a server; the server with the lowest cost is preferred.
 */
@FunctionalInterface
public interface PlacementCostFunction {

	/**
	 * Returns the cost of placing a request on a server.
	 * @param candidate the server
	 * @param request the request
	 * @param paces paces of the servers of the service, empty if they report none
	 * @return the cost, in loads of a server
	 */
	double cost(PlacementCandidate candidate, PlacementRequest request, Optional<ServicePaces> paces);

}
