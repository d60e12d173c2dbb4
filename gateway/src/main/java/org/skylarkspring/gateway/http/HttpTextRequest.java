package org.skylarkspring.gateway.http;

import java.util.Optional;

import io.undertow.util.HttpString;

/**
 * A call with a small body of text.
 *
 * @param method the method
 * @param path path and query
 * @param body JSON text, empty for none
 */
public record HttpTextRequest(HttpString method, String path, Optional<String> body) {
}
