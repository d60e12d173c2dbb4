package org.skylarkspring.gateway.model;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Information taken from the headers of a server's response.
 *
 * @param requestId id of the request the response belongs to, empty if the server sent
 * none
 * @param notExecuted whether the server states that it has not run the request and will
 * not run it
 * @param signed whether the response carries a signature of the server
 * @param load load reported by the server
 * @param leaving whether the server is about to terminate
 * @param backoffMillis time for which the server, which has turned the request away,
 * wants no requests of this instance, in milliseconds
 * @param rateLimit what the response says about the request rate that the server accepts
 */
public record ResponseHead(Optional<String> requestId, boolean notExecuted, boolean signed, Optional<LoadSample> load,
		boolean leaving, OptionalLong backoffMillis, NamedRateLimit rateLimit) {
}
