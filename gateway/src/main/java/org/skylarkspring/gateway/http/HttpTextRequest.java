package org.skylarkspring.gateway.http;

import java.util.Optional;

import io.undertow.util.HttpString;

/**
 * HTTP request with a small text body.
 *
 * @param method HTTP method
 * @param path path and query
 * @param body JSON text of the body, empty for none
 */
public record HttpTextRequest(HttpString method, String path, Optional<String> body) {
}
