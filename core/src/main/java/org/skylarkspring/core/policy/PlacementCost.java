package org.skylarkspring.core.policy;

/**
 * Ranks the servers that admit a request; the lowest cost wins.
 */
@FunctionalInterface
public interface PlacementCost {

	/**
	 * Returns the cost of placing the request on a server.
	 * @param view the server, not {@code null}
	 * @return the cost
	 */
	double cost(PlacementView view);

}
