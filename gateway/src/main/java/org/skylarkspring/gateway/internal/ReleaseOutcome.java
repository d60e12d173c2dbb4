package org.skylarkspring.gateway.internal;

import java.util.Optional;

import org.skylarkspring.gateway.model.StopResult;

/**
 * What is known of a generation that its server was to release.
 */
sealed interface ReleaseOutcome {

	/**
	 * Returns the name of the outcome in logs and metrics.
	 * @return the name
	 */
	String name();

	/**
	 * Returns what the server has answered to the order.
	 * @return the answer, empty unless the server has stopped the generation and said so
	 */
	default Optional<StopResult.Stopped> answer() {
		return Optional.empty();
	}

	/**
	 * The server has stopped the generation because of an order.
	 *
	 * @param answer answer of the server, empty if it has ended the stream but not
	 * answered the order yet
	 */
	record Stopped(Optional<StopResult.Stopped> answer) implements ReleaseOutcome {

		@Override
		public String name() {
			return "stopped by order";
		}

	}

	/**
	 * The server has ended, or does not know a generation whose stream it has lost. It is
	 * ordered to stop the generation for some more time.
	 */
	record Ended() implements ReleaseOutcome {

		@Override
		public String name() {
			return "ended";
		}

	}

	/** The server could not be reached for some time, so nothing is known. */
	record Unreachable() implements ReleaseOutcome {

		@Override
		public String name() {
			return "unreachable";
		}

	}

	/** The server was reached, but did not stop the generation. */
	record StillRunning() implements ReleaseOutcome {

		@Override
		public String name() {
			return "still running";
		}

	}

}
