package org.skylarkspring.core.action;

import org.skylarkspring.core.model.Outcome;
import org.skylarkspring.core.model.StoredObject;

/**
 * An action that the decision core requests. Each type is passed to the method of
 * {@link ActionHandler} with the same name.
 */
public sealed interface Action {

	/**
	 * Calls the handler method for the type of this action.
	 * @param handler the handler, not {@code null}
	 */
	void accept(ActionHandler handler);

	/**
	 * Sends a request to a backend server.
	 *
	 * @param requestId number of the request
	 * @param attemptId number of the attempt
	 * @param serverId name of the server
	 * @param address address of the server
	 * @param enginePriority scheduling priority in the engine; lower values run first
	 * @param resumeOffset 0 for a new generation, otherwise the token offset at which the
	 * same generation is resumed
	 */
	record Dispatch(long requestId, long attemptId, String serverId, String address, int enginePriority,
			int resumeOffset) implements Action {

		@Override
		public void accept(ActionHandler handler) {
			handler.dispatch(this);
		}

	}

	/**
	 * Cancels an attempt. Its connection must not be reused.
	 *
	 * @param attemptId number of the attempt
	 */
	record CancelAttempt(long attemptId) implements Action {

		@Override
		public void accept(ActionHandler handler) {
			handler.cancelAttempt(this);
		}

	}

	/**
	 * Sends the final response to the caller.
	 *
	 * @param requestId number of the request
	 * @param outcome the final result
	 */
	record FinishRequest(long requestId, Outcome outcome) implements Action {

		@Override
		public void accept(ActionHandler handler) {
			handler.finishRequest(this);
		}

	}

	/**
	 * Writes an object to the platform's store if its current version is the expected
	 * one.
	 *
	 * @param operationId number of the operation, repeated in the event with the response
	 * @param key name of the object
	 * @param expectedVersion version of the object to replace, 0 to create the object
	 * @param value the new value
	 */
	record StoreWrite(long operationId, String key, long expectedVersion, StoredObject value) implements Action {

		@Override
		public void accept(ActionHandler handler) {
			handler.storeWrite(this);
		}

	}

	/**
	 * Reads an object from the platform's store.
	 *
	 * @param operationId number of the operation, repeated in the event with the response
	 * @param key name of the object
	 */
	record StoreRead(long operationId, String key) implements Action {

		@Override
		public void accept(ActionHandler handler) {
			handler.storeRead(this);
		}

	}

	/**
	 * Tells a server to load a model version.
	 *
	 * @param serverId name of the server
	 * @param address address of the server
	 * @param fencingNumber fencing number of the lease under which the command is sent;
	 * servers that check it reject a number lower than the highest one received
	 * @param modelVersion model version to load
	 */
	record LoadModel(String serverId, String address, long fencingNumber, String modelVersion) implements Action {

		@Override
		public void accept(ActionHandler handler) {
			handler.loadModel(this);
		}

	}

	/**
	 * Logs a state change.
	 *
	 * @param subject object whose state changed, such as {@code server s1}
	 * @param change description of the change
	 */
	record StateChanged(String subject, String change) implements Action {

		@Override
		public void accept(ActionHandler handler) {
			handler.stateChanged(this);
		}

	}

	/**
	 * Reports that all requests have ended after a shutdown request; the process may
	 * exit.
	 */
	record ShutdownComplete() implements Action {

		@Override
		public void accept(ActionHandler handler) {
			handler.shutdownComplete(this);
		}

	}

}
