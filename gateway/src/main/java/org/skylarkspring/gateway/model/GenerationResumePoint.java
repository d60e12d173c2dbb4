package org.skylarkspring.gateway.model;

import java.util.Optional;

/**
 * Point from which a server resumes a generation, using a KV cache copied from another
 * server.
 *
 * @param sourceAddress address of the server whose KV cache was copied
 * @param cacheCopyId identifier of the copy: a handle, or the request id for a backup
 * @param lastEventId id of the last event delivered to the caller, empty if none was
 */
public record GenerationResumePoint(String sourceAddress, String cacheCopyId, Optional<String> lastEventId) {
}
