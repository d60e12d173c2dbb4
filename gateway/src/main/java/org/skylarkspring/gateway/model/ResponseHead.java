package org.skylarkspring.gateway.model;

import java.util.Optional;

/**
 * What the head of a server's answer proves.
 *
 * @param requestId id of the request the answer belongs to
 * @param notExecuted whether the server says that it has not run the request and will not
 * @param signed whether the answer bears the server's signature
 * @param load load of the server
 */
public record ResponseHead(Optional<String> requestId, boolean notExecuted, boolean signed, Optional<LoadSample> load) {
}
