package org.skylarkspring.gateway.port;

import io.undertow.util.HeaderMap;

import org.skylarkspring.gateway.http.TextRequest;
import org.skylarkspring.gateway.http.TextResult;
import org.skylarkspring.gateway.model.AnswerHead;
import org.skylarkspring.gateway.model.DispatchHead;
import org.skylarkspring.gateway.model.MoveResult;

/**
 * What is said to backend servers and what their answers prove.
 */
public interface ServerProtocol {

	/**
	 * Adds to the headers of a request what the gateway has to say.
	 * @param head what to say
	 * @param headers headers of the request
	 */
	void encode(DispatchHead head, HeaderMap headers);

	/**
	 * Reads the head of an answer.
	 * @param status status of the answer
	 * @param headers headers of the answer
	 * @return what it proves
	 */
	AnswerHead decode(int status, HeaderMap headers);

	/**
	 * Builds the call that copies a running generation.
	 * @param requestId id of the request that is running
	 * @param targetAddress address of the server that receives the copy
	 * @param last whether the generation stops at its server
	 * @return the call
	 */
	TextRequest move(String requestId, String targetAddress, boolean last);

	/**
	 * Reads the answer to a call that copies a generation.
	 * @param result the answer
	 * @return the outcome
	 */
	MoveResult moved(TextResult result);

	/**
	 * Builds the call that asks a server for its state.
	 * @return the call
	 */
	TextRequest report();

	/**
	 * Reads from a server's state whether it is about to leave.
	 * @param result the answer
	 * @return {@code true} if it says so, {@code false} if it doesn't or did not answer
	 */
	boolean reportsLeaving(TextResult result);

	/**
	 * Builds the call that frees a copy.
	 * @param handle name of the copy
	 * @return the call
	 */
	TextRequest release(String handle);

}
