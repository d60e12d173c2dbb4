package org.skylarkspring.gateway.port;

import io.undertow.util.HeaderMap;

import org.skylarkspring.gateway.http.HttpTextRequest;
import org.skylarkspring.gateway.http.HttpTextResult;
import org.skylarkspring.gateway.model.DispatchHead;
import org.skylarkspring.gateway.model.MigrationResult;
import org.skylarkspring.gateway.model.ResponseHead;
import org.skylarkspring.gateway.model.StopResult;

/**
 * Encoding of requests to backend servers and decoding of their responses.
 */
public interface ServerProtocol {

	/**
	 * Encodes information of the gateway in the headers of a request.
	 * @param head the information to encode
	 * @param headers headers of the request
	 */
	void encodeRequestHeaders(DispatchHead head, HeaderMap headers);

	/**
	 * Decodes the headers of a response.
	 * @param status the HTTP status code of the response
	 * @param headers headers of the response
	 * @return the decoded information
	 */
	ResponseHead decodeResponseHeaders(int status, HeaderMap headers);

	/**
	 * Builds the call that copies the KV cache of a running generation.
	 * @param requestId id of the request that is running
	 * @param targetAddress address of the server that receives the copy
	 * @return the call
	 */
	HttpTextRequest buildMigrationRequest(String requestId, String targetAddress);

	/**
	 * Decodes the response to a call that copies the KV cache of a generation.
	 * @param result result of the call
	 * @return the result of the copy
	 */
	MigrationResult decodeMigrationResult(HttpTextResult result);

	/**
	 * Builds the call that stops a running generation. Its server keeps the KV cache.
	 * @param requestId id of the request that is running
	 * @param targetAddress address of the server that continues the generation
	 * @return the call
	 */
	HttpTextRequest buildStopRequest(String requestId, String targetAddress);

	/**
	 * Decodes the response to a call that stops a generation.
	 * @param result result of the call
	 * @return whether the generation has stopped
	 */
	StopResult decodeStopResult(HttpTextResult result);

	/**
	 * Builds the call that queries the state of a server.
	 * @return the call
	 */
	HttpTextRequest buildReportRequest();

	/**
	 * Returns whether a server reports that it is about to terminate.
	 * @param result result of the call that queries the state
	 * @return {@code true} if it reports so, {@code false} if it does not or if the call
	 * failed
	 */
	boolean reportsDraining(HttpTextResult result);

	/**
	 * Builds the call that releases a KV cache copy.
	 * @param handle identifier of the copy
	 * @return the call
	 */
	HttpTextRequest buildReleaseRequest(String handle);

}
