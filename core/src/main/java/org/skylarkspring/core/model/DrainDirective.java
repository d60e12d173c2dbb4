package org.skylarkspring.core.model;

/**
 * An operator's instruction to drain a data centre or backend server, or to return it to
 * service. For each target the directive with the higher counter wins, and the higher
 * origin breaks ties, so that all instances converge regardless of the order of delivery.
 *
 * @param targetKind kind of the target
 * @param target name of the data centre or server
 * @param drained {@code true} if the target must not receive new requests, {@code false}
 * if it is back in service
 * @param counter logical timestamp of the directive
 * @param origin instance that accepted the directive from the operator
 */
public record DrainDirective(TargetKind targetKind, String target, boolean drained, long counter, String origin) {

	/**
	 * Kind of the target of a directive.
	 */
	public enum TargetKind {

		/** All backend servers of a data centre. */
		DATA_CENTRE,

		/** One backend server. */
		SERVER

	}

	/**
	 * Returns whether this directive replaces another one for the same target.
	 * @param other the directive to compare with, not {@code null}
	 * @return {@code true} if this directive is newer
	 */
	public boolean supersedes(DrainDirective other) {
		if (this.counter != other.counter) {
			return this.counter > other.counter;
		}
		return this.origin.compareTo(other.origin) > 0;
	}

}
