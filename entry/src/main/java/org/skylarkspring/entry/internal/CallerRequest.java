package org.skylarkspring.entry.internal;

import org.xnio.XnioIoThread;

import org.skylarkspring.core.action.Action;
import org.skylarkspring.core.model.Outcome;

/**
 * An open request of a caller. Executes the decisions of the core on the caller's and the
 * backend server's connections. All methods except {@link #ioThread()} run on the
 * request's I/O thread.
 */
interface CallerRequest {

	/**
	 * Returns the thread that owns the request.
	 * @return the I/O thread of the caller's connection
	 */
	XnioIoThread ioThread();

	/**
	 * Sends the request to a backend server.
	 * @param action selected server and attempt
	 */
	void dispatch(Action.Dispatch action);

	/**
	 * Cancels an attempt and closes its connection. Has no effect if the attempt is not
	 * the current one.
	 * @param attemptId number of the attempt
	 */
	void cancelAttempt(long attemptId);

	/** Called when the caller has closed its connection. */
	void onDisconnect();

	/**
	 * Sends the final response to the caller.
	 * @param outcome the final result of the request
	 */
	void finish(Outcome outcome);

}
