package org.skylarkspring.core.policy;

/**
 * Cost function that ranks the servers that admit a request; the server with the lowest
 * cost is selected.
 */
@FunctionalInterface
public interface PlacementCost {

	/**
	 * Returns the cost of placing the request on a server.
	 * @param view state of the server, not {@code null}
	 * @return the cost
	 */
	double cost(PlacementView view);

}
