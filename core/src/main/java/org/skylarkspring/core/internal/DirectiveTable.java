package org.skylarkspring.core.internal;

import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;

import org.skylarkspring.core.model.Directive;

/**
 * The newest directive on each target.
 */
final class DirectiveTable {

	private final Map<String, Directive> newest = new LinkedHashMap<>();

	/**
	 * Merges a directive.
	 * @param directive the directive
	 * @return whether it was newer than the one known
	 */
	boolean merge(Directive directive) {
		String key = key(directive.targetKind(), directive.target());
		Directive known = this.newest.get(key);
		if (known != null && !directive.replaces(known)) {
			return false;
		}
		this.newest.put(key, directive);
		return true;
	}

	boolean drained(ServerEntry server) {
		return drained(Directive.TargetKind.SERVER, server.serverId)
				|| drained(Directive.TargetKind.DATA_CENTRE, server.listing.dataCentre());
	}

	List<Directive> all() {
		return List.copyOf(this.newest.values());
	}

	private boolean drained(Directive.TargetKind kind, String target) {
		Directive directive = this.newest.get(key(kind, target));
		return directive != null && directive.drained();
	}

	private static String key(Directive.TargetKind kind, String target) {
		return kind + "/" + target;
	}

}
