package org.skylarkspring.entry.http;

/**
 * A complete HTTP response.
 *
 * @param status HTTP status code
 * @param contentType media type, empty if the response has none
 * @param body text of the body
 */
public record HttpClientResponse(int status, String contentType, String body) {
}
