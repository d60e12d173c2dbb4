package org.skylarkspring.gateway.internal;

import io.undertow.util.HeaderMap;

/**
 * The part of a request head that is forwarded to the server as the caller sent it.
 *
 * @param target path and query
 * @param headers end-to-end headers
 */
record ForwardedHead(String target, HeaderMap headers) {

}
