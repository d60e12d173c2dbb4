package org.skylarkspring.entry.internal;

import org.xnio.XnioIoThread;

import org.skylarkspring.core.action.Action;
import org.skylarkspring.core.model.Outcome;

/**
 * One caller's request between the core and the network. All methods run on the request's
 * I/O thread.
 */
interface CallerRequest {

	/**
	 * Returns the thread that owns the request.
	 * @return the I/O thread of the caller's connection
	 */
	XnioIoThread ioThread();

	/**
	 * Sends the request to a backend server.
	 * @param action the core's decision
	 */
	void dispatch(Action.Dispatch action);

	/**
	 * Gives an attempt up and closes its connection.
	 * @param attemptId number of the attempt
	 */
	void cancelAttempt(long attemptId);

	/** The caller has closed its connection. */
	void onDisconnect();

	/**
	 * Gives the caller its final answer.
	 * @param outcome the answer
	 */
	void finish(Outcome outcome);

}
