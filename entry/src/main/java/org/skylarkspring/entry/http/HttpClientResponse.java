package org.skylarkspring.entry.http;

/**
 * A whole HTTP response.
 *
 * @param status HTTP status
 * @param contentType media type, empty if none was given
 * @param body text of the body
 */
public record HttpClientResponse(int status, String contentType, String body) {
}
