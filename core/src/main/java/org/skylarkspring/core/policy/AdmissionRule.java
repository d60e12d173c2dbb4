package org.skylarkspring.core.policy;

/**
 * Decides whether a server may receive a request now.
 */
@FunctionalInterface
public interface AdmissionRule {

	/**
	 * Returns whether the server may receive the request.
	 * @param view state of the server, not {@code null}
	 * @return {@code false} if the request must wait or use another server
	 */
	boolean admits(PlacementView view);

}
