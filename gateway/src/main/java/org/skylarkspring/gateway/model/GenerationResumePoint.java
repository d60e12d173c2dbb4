package org.skylarkspring.gateway.model;

import java.util.Optional;

/**
 * A generation that goes on from memory copied from another server.
 *
 * @param sourceAddress address of the server that holds the copy's origin
 * @param cacheCopyId name of the copy: a handle, or the id of the request for a backup
 * @param lastEventId id of the last event delivered, empty if none was
 */
public record GenerationResumePoint(String sourceAddress, String cacheCopyId, Optional<String> lastEventId) {
}
