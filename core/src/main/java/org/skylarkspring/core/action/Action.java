package org.skylarkspring.core.action;

import org.skylarkspring.core.model.Outcome;
import org.skylarkspring.core.model.StoredObject;

/**
 * A message out of the core. Each action is handed to the method of {@link ActionHandler}
 * that bears its name.
 */
public sealed interface Action {

	/**
	 * Hands this action to a handler.
	 * @param handler the handler, not {@code null}
	 */
	void accept(ActionHandler handler);

	/**
	 * Send a request to a backend server.
	 *
	 * @param requestId number of the request
	 * @param attemptId number of the attempt
	 * @param serverId name of the server
	 * @param address address of the server
	 * @param enginePriority priority for the engine, lower values run first
	 * @param resumeOffset 0 for a new generation, otherwise the offset from which the
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
	 * Cancel an attempt and never use its connection again.
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
	 * Give the caller its final answer.
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
	 * Write an object if its version is as expected.
	 *
	 * @param operationId number of the operation, echoed in the answer
	 * @param key name of the object
	 * @param expectedVersion version to replace, 0 to create
	 * @param value the new value
	 */
	record StoreWrite(long operationId, String key, long expectedVersion, StoredObject value) implements Action {

		@Override
		public void accept(ActionHandler handler) {
			handler.storeWrite(this);
		}

	}

	/**
	 * Read an object.
	 *
	 * @param operationId number of the operation, echoed in the answer
	 * @param key name of the object
	 */
	record StoreRead(long operationId, String key) implements Action {

		@Override
		public void accept(ActionHandler handler) {
			handler.storeRead(this);
		}

	}

	/**
	 * Order a server to load a model version.
	 *
	 * @param serverId name of the server
	 * @param address address of the server
	 * @param fencingNumber number of the duty's holder; servers that check it refuse a
	 * lower one than they have seen
	 * @param modelVersion version to load
	 */
	record LoadModel(String serverId, String address, long fencingNumber, String modelVersion) implements Action {

		@Override
		public void accept(ActionHandler handler) {
			handler.loadModel(this);
		}

	}

	/**
	 * Log a change of state.
	 *
	 * @param subject what has changed, such as {@code server s1}
	 * @param change the change
	 */
	record StateChanged(String subject, String change) implements Action {

		@Override
		public void accept(ActionHandler handler) {
			handler.stateChanged(this);
		}

	}

	/** All requests have ended after the order to shut down; the process may exit. */
	record ShutdownComplete() implements Action {

		@Override
		public void accept(ActionHandler handler) {
			handler.shutdownComplete(this);
		}

	}

}
