package org.skylarkspring.core.model;

/**
 * Response of a plain service, recorded to be replayed for requests with the same
 * idempotency key.
 *
 * @param status HTTP status of the response
 * @param contentType media type of the body, empty if unknown
 * @param body text of the body, empty if it was too large to record
 * @param truncated whether the body was omitted because of its size
 */
public record RecordedResponse(int status, String contentType, String body, boolean truncated) {
}
