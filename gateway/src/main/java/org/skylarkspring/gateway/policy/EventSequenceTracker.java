package org.skylarkspring.gateway.policy;

import java.util.Optional;

/**
 * Decides which events of a continued stream are new to the caller, by their rising
 * numbers.
 */
public final class EventSequenceTracker {

	private static final long NO_EVENT = Long.MIN_VALUE;

	private long lastDeliveredNumber = NO_EVENT;

	private String lastDeliveredId;

	/**
	 * Judges the next event.
	 * @param event the event
	 * @return what to do with it
	 */
	public Disposition classify(SseEvent event) {
		Optional<Long> number = event.id().flatMap(EventSequenceTracker::parseNumber);
		if (number.isEmpty() || this.lastDeliveredNumber == NO_EVENT || number.get() == this.lastDeliveredNumber + 1) {
			return Disposition.DELIVER;
		}
		return (number.get() <= this.lastDeliveredNumber) ? Disposition.DUPLICATE : Disposition.GAP;
	}

	/**
	 * Remembers that an event was passed on.
	 * @param event the event
	 */
	public void recordDelivered(SseEvent event) {
		event.id().ifPresent((id) -> {
			this.lastDeliveredId = id;
			this.lastDeliveredNumber = parseNumber(id).orElse(this.lastDeliveredNumber);
		});
	}

	/**
	 * Returns the id of the last event that was passed on.
	 * @return the id, empty if none had one
	 */
	public Optional<String> lastDeliveredId() {
		return Optional.ofNullable(this.lastDeliveredId);
	}

	private static Optional<Long> parseNumber(String id) {
		try {
			return Optional.of(Long.parseLong(id));
		}
		catch (NumberFormatException ex) {
			// Ids that aren't numbers carry no order; the event is passed on as it comes.
			return Optional.empty();
		}
	}

	/**
	 * What to do with an event.
	 */
	public enum Disposition {

		/** Pass it on. */
		DELIVER,

		/** The caller has it already. */
		DUPLICATE,

		/** An event before it is missing; the stream can't go on. */
		GAP

	}

}
