package org.skylarkspring.core.internal;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.skylarkspring.core.model.DrainDirective;

/**
 * Table of the newest drain directive for each target.
 */
final class DrainDirectiveTable {

	private final Map<String, DrainDirective> newestByTarget = new LinkedHashMap<>();

	/**
	 * Adds a directive unless the table contains the same or a newer one for its target.
	 * @param directive the directive
	 * @return whether the directive was added
	 */
	boolean merge(DrainDirective directive) {
		String key = targetKey(directive.targetKind(), directive.target());
		DrainDirective existing = this.newestByTarget.get(key);
		if (existing != null && !directive.supersedes(existing)) {
			return false;
		}
		this.newestByTarget.put(key, directive);
		return true;
	}

	boolean isDrained(ServerEntry server) {
		return isDrained(DrainDirective.TargetKind.SERVER, server.serverId)
				|| isDrained(DrainDirective.TargetKind.DATA_CENTRE, server.instanceRecord.dataCentre());
	}

	List<DrainDirective> all() {
		return List.copyOf(this.newestByTarget.values());
	}

	private boolean isDrained(DrainDirective.TargetKind kind, String target) {
		DrainDirective directive = this.newestByTarget.get(targetKey(kind, target));
		return directive != null && directive.drained();
	}

	private static String targetKey(DrainDirective.TargetKind kind, String target) {
		return kind + "/" + target;
	}

}
