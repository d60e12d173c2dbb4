package org.skylarkspring.core.model;

/**
 * An operator's word on one data centre or backend server. Directives merge by the higher
 * counter, then by the higher origin, so that all instances converge in any order of
 * delivery.
 *
 * @param targetKind what the directive is about
 * @param target name of the data centre or server
 * @param drained whether the target must receive no new work
 * @param counter logical clock of the directive
 * @param origin instance that accepted the directive from the operator
 */
public record DrainDirective(TargetKind targetKind, String target, boolean drained, long counter, String origin) {

	/**
	 * What a directive is about.
	 */
	public enum TargetKind {

		/** All backend servers of a data centre. */
		DATA_CENTRE,

		/** One backend server. */
		SERVER

	}

	/**
	 * Returns whether this directive replaces another one on the same target.
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
