package org.skylarkspring.gateway.admission;

import java.util.Set;

/**
 * Whether a request is dispatched now, waits, or is refused.
 */
public sealed interface AdmissionDecision {

	/**
	 * Returns the reason.
	 * @return the reason
	 */
	AdmissionReason reason();

	/**
	 * Returns the figures behind the decision.
	 * @return the figures
	 */
	AdmissionFigures figures();

	/**
	 * Returns the name used in metrics and log lines.
	 * @return the label
	 */
	String label();

	/**
	 * The request is dispatched now.
	 *
	 * @param fullServers ids of the eligible servers without room, if others have room
	 * @param reason the reason
	 * @param figures the figures
	 */
	record Admit(Set<String> fullServers, AdmissionReason reason,
			AdmissionFigures figures) implements AdmissionDecision {

		/**
		 * Returns whether engines should start other requests first that they have
		 * queued.
		 * @return {@code true} for a lower priority
		 */
		public boolean isDeferred() {
			return this.reason == AdmissionReason.LATE || this.reason == AdmissionReason.ABOVE_SHARE;
		}

		@Override
		public String label() {
			return "admit";
		}

	}

	/**
	 * The request waits for room.
	 *
	 * @param untilMillis time at which it is dispatched even without room
	 * @param reason the reason
	 * @param figures the figures
	 */
	record Wait(long untilMillis, AdmissionReason reason, AdmissionFigures figures) implements AdmissionDecision {

		@Override
		public String label() {
			return "wait";
		}

	}

	/**
	 * The request is rejected as not run.
	 *
	 * @param retryAfterMillis time after which the caller may send it again, in
	 * milliseconds
	 * @param reason the reason
	 * @param figures the figures
	 */
	record Refuse(long retryAfterMillis, AdmissionReason reason,
			AdmissionFigures figures) implements AdmissionDecision {

		@Override
		public String label() {
			return "refuse";
		}

	}

}
