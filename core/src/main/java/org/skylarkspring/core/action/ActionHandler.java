package org.skylarkspring.core.action;

/**
 * Carries out the actions of the decision core, with one method for each action type.
 */
public interface ActionHandler {

	/**
	 * Sends a request to a backend server.
	 * @param action the action
	 */
	void dispatch(Action.Dispatch action);

	/**
	 * Cancels an attempt.
	 * @param action the action
	 */
	void cancelAttempt(Action.CancelAttempt action);

	/**
	 * Sends the final response to the caller.
	 * @param action the action
	 */
	void finishRequest(Action.FinishRequest action);

	/**
	 * Writes an object to the platform's store.
	 * @param action the action
	 */
	void storeWrite(Action.StoreWrite action);

	/**
	 * Reads an object from the platform's store.
	 * @param action the action
	 */
	void storeRead(Action.StoreRead action);

	/**
	 * Tells a server to load a model version.
	 * @param action the action
	 */
	void loadModel(Action.LoadModel action);

	/**
	 * Logs a state change.
	 * @param action the action
	 */
	void stateChanged(Action.StateChanged action);

	/**
	 * Terminates the process.
	 * @param action the action
	 */
	void shutdownComplete(Action.ShutdownComplete action);

}
