package org.skylarkspring.gateway.model;

import java.util.List;

/**
 * Report of an instance that a backend server crashed while requests of the instance were
 * sent to it. One of them may be the cause. Stored as JSON with these fields.
 *
 * @param server incarnation of the server that crashed
 * @param requestKeys keys of the requests, see {@link RequestIdentity}
 * @param instanceId id of the instance that reports the crash
 * @param number number of the report among those of the instance about the server
 */
public record RequestCrashes(ServerIncarnation server, List<String> requestKeys, String instanceId, int number) {

	/** Maximum number of keys in a report, so that the object stays small. */
	public static final int MAXIMUM_KEYS = 200;

	/**
	 * Returns whether an object is a report of this kind.
	 * @param name name of the object
	 * @return {@code false} if it is a report on a part of a prompt
	 */
	public static boolean isNameOfReport(String name) {
		return RequestIdentity.isRequestKey(name);
	}

	/**
	 * Returns whether the fields are present and within bounds, as the JSON may come from
	 * another writer.
	 * @return {@code false} if a field is not
	 */
	public boolean isValid() {
		return this.server != null && this.server.serverId() != null && this.requestKeys != null
				&& !this.requestKeys.isEmpty() && this.requestKeys.size() <= MAXIMUM_KEYS
				&& this.requestKeys.stream()
					.allMatch((key) -> key != null && RequestIdentity.isRequestKey(key)
							&& key.length() == RequestIdentity.KEY_LENGTH);
	}

	/**
	 * Returns the name of the object in the store.
	 * @return the name, unique within the kind
	 */
	public String name() {
		return RequestIdentity.KEY_PREFIX + this.server.serverId() + "." + this.server.startedAtEpochMillis() + "."
				+ this.instanceId + "." + this.number;
	}

	/**
	 * Returns what the report says of one of the requests.
	 * @param key key of the request
	 * @return the crash, filed under the key
	 */
	public PromptCrash crashOf(String key) {
		return new PromptCrash(key, this.server, List.of(key), "", this.instanceId);
	}

	/**
	 * Returns a report with other keys under the same name.
	 * @param keys the keys
	 * @return the report
	 */
	public RequestCrashes withKeys(List<String> keys) {
		return new RequestCrashes(this.server, List.copyOf(keys), this.instanceId, this.number);
	}

}
