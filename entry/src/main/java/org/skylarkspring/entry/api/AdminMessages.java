package org.skylarkspring.entry.api;

import java.util.List;

import org.skylarkspring.core.config.Configuration;
import org.skylarkspring.core.model.CoreStatus;
import org.skylarkspring.core.model.DrainDirective;

/**
 * Request and response bodies of the administration API.
 */
public final class AdminMessages {

	private AdminMessages() {
	}

	/**
	 * Request to publish a configuration.
	 *
	 * @param configuration content to publish; its revision is ignored
	 * @param expectedRevision revision on which the content is based; the request is
	 * rejected if another revision is current; -1 to skip this check
	 */
	public record PublishRequest(Configuration configuration, long expectedRevision) {

		/**
		 * Returns whether the configuration and all its lists are present.
		 * @return {@code false} if the configuration or one of its lists is missing
		 */
		public boolean isWellFormed() {
			return this.configuration != null && this.configuration.services() != null
					&& this.configuration.pools() != null && this.configuration.workspaces() != null
					&& this.configuration.dataCentres() != null;
		}

	}

	/**
	 * Result of a command, such as publishing a configuration or draining a target.
	 *
	 * @param verdict wire name of the verdict that says whether the command took effect
	 * @param revision revision that was written or may have been written, or the current
	 * revision that prevented the publication; 0 if the command has none; not meaningful
	 * if the store was unavailable
	 * @param message human-readable result
	 */
	public record CommandResult(String verdict, long revision, String message) {
	}

	/**
	 * Request to drain a target or to restore a drained one.
	 *
	 * @param targetKind kind of the target
	 * @param target name of the target
	 * @param drained {@code true} to drain the target, {@code false} to restore it
	 */
	public record DrainRequest(DrainDirective.TargetKind targetKind, String target, boolean drained) {
	}

	/**
	 * Current configuration revision of one instance.
	 *
	 * @param instanceId identifier of the instance
	 * @param dataCentre data centre of the instance
	 * @param revision current revision, -1 if the instance has not reported one
	 */
	public record InstanceRevision(String instanceId, String dataCentre, long revision) {
	}

	/**
	 * Status of the whole system as one instance sees it.
	 *
	 * @param instanceId identifier of the responding instance
	 * @param core state of the decision core of the responding instance
	 * @param directives latest drain directive of each target
	 * @param instances current configuration revision of every listed entry instance
	 */
	public record StatusResponse(String instanceId, CoreStatus core, List<DrainDirective> directives,
			List<InstanceRevision> instances) {
	}

}
