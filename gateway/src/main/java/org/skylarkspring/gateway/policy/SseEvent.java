package org.skylarkspring.gateway.policy;

import java.util.Optional;

/**
 * Complete server-sent event.
 *
 * @param bytes the event as received, including the empty line at its end
 * @param id id of the event, empty if it has none
 */
public record SseEvent(byte[] bytes, Optional<String> id) {
}
