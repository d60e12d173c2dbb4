package org.skylarkspring.gateway.port;

import io.undertow.util.HeaderMap;

import org.skylarkspring.gateway.http.HttpTextRequest;
import org.skylarkspring.gateway.http.HttpTextResult;
import org.skylarkspring.gateway.model.DispatchHead;
import org.skylarkspring.gateway.model.MigrationResult;
import org.skylarkspring.gateway.model.ResponseHead;

/**
 * What is said to backend servers and what their answers prove.
 */
public interface ServerProtocol {

	/**
	 * Adds to the headers of a request what the gateway has to say.
	 * @param head what to say
	 * @param headers headers of the request
	 */
	void encodeRequestHeaders(DispatchHead head, HeaderMap headers);

	/**
	 * Reads the head of an answer.
	 * @param status status of the answer
	 * @param headers headers of the answer
	 * @return what it proves
	 */
	ResponseHead decodeResponseHeaders(int status, HeaderMap headers);

	/**
	 * Builds the call that copies a running generation.
	 * @param requestId id of the request that is running
	 * @param targetAddress address of the server that receives the copy
	 * @param last whether the generation stops at its server
	 * @return the call
	 */
	HttpTextRequest buildMigrationRequest(String requestId, String targetAddress, boolean last);

	/**
	 * Reads the answer to a call that copies a generation.
	 * @param result the answer
	 * @return the outcome
	 */
	MigrationResult decodeMigrationResult(HttpTextResult result);

	/**
	 * Builds the call that asks a server for its state.
	 * @return the call
	 */
	HttpTextRequest buildReportRequest();

	/**
	 * Reads from a server's state whether it is about to leave.
	 * @param result the answer
	 * @return {@code true} if it says so, {@code false} if it doesn't or did not answer
	 */
	boolean reportsDraining(HttpTextResult result);

	/**
	 * Builds the call that frees a copy.
	 * @param handle name of the copy
	 * @return the call
	 */
	HttpTextRequest buildReleaseRequest(String handle);

}
