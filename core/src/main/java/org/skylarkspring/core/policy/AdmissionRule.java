package org.skylarkspring.core.policy;

/**
 * Says whether a server may receive a request now.
 */
@FunctionalInterface
public interface AdmissionRule {

	/**
	 * Returns whether the server may receive the request.
	 * @param view the server, not {@code null}
	 * @return {@code false} to let the request wait or go elsewhere
	 */
	boolean admits(PlacementView view);

}
