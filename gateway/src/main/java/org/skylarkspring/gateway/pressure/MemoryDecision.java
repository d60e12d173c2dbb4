package org.skylarkspring.gateway.pressure;

/**
 * Whether an instance takes new work.
 */
public sealed interface MemoryDecision {

	/** New work is taken. */
	record Accept() implements MemoryDecision {
	}

	/**
	 * New work is turned away, because it could cost the running work its instance.
	 *
	 * @param sample memory on which the decision is based
	 */
	record Shed(MemorySample sample) implements MemoryDecision {

		@Override
		public String toString() {
			return "instance is short of memory: " + this.sample.liveBytes() + " of " + this.sample.limitBytes()
					+ " bytes in use, bodies " + this.sample.bodyBytes() + ", responses " + this.sample.responseBytes();
		}

	}

}
