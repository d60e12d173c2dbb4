package org.skylarkspring.gateway.internal;

import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.skylarkspring.gateway.model.ObjectKind;
import org.skylarkspring.gateway.model.StoredObject;

/**
 * Logs and counts the objects of one kind in the store that are ignored because they are
 * invalid. Each is logged once, however often it is listed or changed, until it is valid
 * or gone.
 */
final class InvalidObjectLog {

	/** Number of characters of the content that are logged. */
	private static final int MAXIMUM_CONTENT_LENGTH = 200;

	private final DecisionLog log;

	private final GatewayMetrics metrics;

	private final ObjectKind kind;

	private final Set<String> invalidNames = new HashSet<>();

	InvalidObjectLog(DecisionLog log, GatewayMetrics metrics, ObjectKind kind) {
		this.log = log;
		this.metrics = metrics;
		this.kind = kind;
	}

	/**
	 * Records that an object is ignored.
	 * @param object the object
	 * @param reason why it is ignored
	 */
	void recordInvalid(StoredObject object, String reason) {
		if (this.invalidNames.add(object.name())) {
			this.metrics.recordDecision("invalid object of store ignored");
			this.log.logStateChange("invalid object of store ignored",
					Map.of("kind", this.kind, "name", object.name(), "reason", reason, "content", contentOf(object)));
		}
	}

	/**
	 * Records that an object is valid or gone.
	 * @param name name of the object
	 */
	void forget(String name) {
		this.invalidNames.remove(name);
	}

	/**
	 * Records that all other objects are gone.
	 * @param names names of all listed objects
	 */
	void retainListed(Set<String> names) {
		this.invalidNames.retainAll(names);
	}

	private static String contentOf(StoredObject object) {
		String content = object.content().toString();
		return content.substring(0, Math.min(MAXIMUM_CONTENT_LENGTH, content.length()));
	}

}
