package org.skylarkspring.gateway.policy;

/**
 * Cost of placing a request on a server; the server with the lowest cost is preferred.
 */
@FunctionalInterface
public interface PlacementCostFunction {

	/**
	 * Returns the cost of placing a request on a server.
	 * @param candidate the server
	 * @param requestTokens tokens the request will occupy in the KV cache, 0 for plain
	 * services
	 * @return the cost
	 */
	double cost(PlacementCandidate candidate, long requestTokens);

}
