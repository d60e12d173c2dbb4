package org.skylarkspring.core.model;

/**
 * An answer of a plain service, as recorded for repeats of the same key.
 *
 * @param status HTTP status of the answer
 * @param contentType media type of the body, empty if unknown
 * @param body text of the body, empty when it was too large to record
 * @param truncated whether the body was left out because of its size
 */
public record RecordedResponse(int status, String contentType, String body, boolean truncated) {
}
