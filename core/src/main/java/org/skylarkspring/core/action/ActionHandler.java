package org.skylarkspring.core.action;

/**
 * Carries out actions by their type.
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
	 * Gives the caller its final answer.
	 * @param action the action
	 */
	void finishRequest(Action.FinishRequest action);

	/**
	 * Writes to the store.
	 * @param action the action
	 */
	void storeWrite(Action.StoreWrite action);

	/**
	 * Reads from the store.
	 * @param action the action
	 */
	void storeRead(Action.StoreRead action);

	/**
	 * Sends an order to a server.
	 * @param action the action
	 */
	void loadModel(Action.LoadModel action);

	/**
	 * Logs a change of state.
	 * @param action the action
	 */
	void stateChanged(Action.StateChanged action);

	/**
	 * Ends the process.
	 * @param action the action
	 */
	void shutdownComplete(Action.ShutdownComplete action);

}
