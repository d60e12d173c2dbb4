package org.skylarkspring.entry.api;

import java.util.List;

import org.skylarkspring.core.config.Configuration;
import org.skylarkspring.core.model.CoreStatus;
import org.skylarkspring.core.model.DrainDirective;

/**
 * Messages of the administration API.
 */
public final class AdminMessages {

	private AdminMessages() {
	}

	/**
	 * Order to publish a configuration.
	 *
	 * @param configuration the content; its revision is ignored
	 * @param expectedRevision revision the content was made from, -1 for any
	 */
	public record PublishRequest(Configuration configuration, long expectedRevision) {

		/**
		 * Returns whether all lists of the configuration are given.
		 * @return {@code false} if one is missing
		 */
		public boolean isWellFormed() {
			return this.configuration != null && this.configuration.services() != null
					&& this.configuration.pools() != null && this.configuration.workspaces() != null
					&& this.configuration.dataCentres() != null;
		}

	}

	/**
	 * Result of an order.
	 *
	 * @param verdict whether the order took effect
	 * @param revision revision written or in the way, 0 if none
	 * @param message result in words
	 */
	public record CommandResult(String verdict, long revision, String message) {
	}

	/**
	 * Order to drain or restore a target.
	 *
	 * @param targetKind kind of the target
	 * @param target name of the target
	 * @param drained {@code false} to restore
	 */
	public record DrainRequest(DrainDirective.TargetKind targetKind, String target, boolean drained) {
	}

	/**
	 * Revision in force on one instance.
	 *
	 * @param instanceId the instance
	 * @param dataCentre its data centre
	 * @param revision the revision, -1 if the instance was not heard of
	 */
	public record InstanceRevision(String instanceId, String dataCentre, long revision) {
	}

	/**
	 * Status of the whole system as one instance sees it.
	 *
	 * @param instanceId the instance that answers
	 * @param core its own state
	 * @param directives directives in force
	 * @param instances revision in force on every listed instance
	 */
	public record StatusResponse(String instanceId, CoreStatus core, List<DrainDirective> directives,
			List<InstanceRevision> instances) {
	}

}
