package org.skylarkspring.gateway.model;

import java.util.List;

/**
 * Report that a backend server crashed as it began to respond to a prompt, filed under
 * one of the shared parts of the prompt. Stored as JSON with these fields. In memory, it
 * also stands for a crash on a whole request, which is stored in {@link RequestCrashes}:
 * the key of the request takes the place of the part.
 *
 * @param partId id of the part that the report is filed under, or key of the request
 * @param server incarnation of the server that crashed
 * @param sharedPartIds ids of all shared parts of the prompt, in order, or the key
 * @param requestId id of the request, for operators, empty for a whole request
 * @param instanceId id of the instance that reports the crash, for operators
 */
public record PromptCrash(String partId, ServerIncarnation server, List<String> sharedPartIds, String requestId,
		String instanceId) {

	/**
	 * Returns whether the fields that decisions need are present, as the JSON may come
	 * from another writer.
	 * @return {@code false} if a field is missing
	 */
	public boolean hasRequiredFields() {
		return this.partId != null && this.server != null && this.server.serverId() != null
				&& this.sharedPartIds != null && this.sharedPartIds.contains(this.partId);
	}

	/**
	 * Returns the name of the object in the store. Reports of the same crash under the
	 * same part have the same name.
	 * @return the name, unique within the kind
	 */
	public String name() {
		return this.partId + "." + this.server.serverId() + "." + this.server.startedAtEpochMillis();
	}

}
