package org.skylarkspring.gateway.policy;

import java.util.Optional;

/**
 * One whole event of a stream.
 *
 * @param bytes the event as it was received, with the empty line at its end
 * @param id the event's id
 */
public record SseEvent(byte[] bytes, Optional<String> id) {
}
