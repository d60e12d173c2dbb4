package org.skylarkspring.gateway.policy;

/**
 * Ranks a server for a request; the lowest cost wins.
 */
@FunctionalInterface
public interface PlacementCostFunction {

	/**
	 * Returns the cost of placing a request on a server.
	 * @param candidate the server
	 * @param requestTokens memory the request will need, 0 for plain services
	 * @return the cost
	 */
	double cost(PlacementCandidate candidate, long requestTokens);

}
