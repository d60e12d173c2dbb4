package org.skylarkspring.gateway.policy;

import java.util.Optional;

/**
 * Detects duplicate and missing events when a stream is resumed, by the increasing
 * numbers in the event ids.
 */
public final class EventSequenceTracker {

	private static final long NO_EVENT = Long.MIN_VALUE;

	private long lastDeliveredNumber = NO_EVENT;

	private String lastDeliveredId;

	/**
	 * Classifies the next event of the stream.
	 * @param event the event
	 * @return how to handle the event
	 */
	public Disposition classify(SseEvent event) {
		Optional<Long> number = event.id().flatMap(EventSequenceTracker::parseNumber);
		if (number.isEmpty() || this.lastDeliveredNumber == NO_EVENT || number.get() == this.lastDeliveredNumber + 1) {
			return Disposition.DELIVER;
		}
		return (number.get() <= this.lastDeliveredNumber) ? Disposition.DUPLICATE : Disposition.GAP;
	}

	/**
	 * Records that an event was delivered to the caller.
	 * @param event the event
	 */
	public void recordDelivered(SseEvent event) {
		event.id().ifPresent((id) -> {
			this.lastDeliveredId = id;
			this.lastDeliveredNumber = parseNumber(id).orElse(this.lastDeliveredNumber);
		});
	}

	/**
	 * Returns the id of the last event that was delivered to the caller.
	 * @return the id, empty if no delivered event had one
	 */
	public Optional<String> lastDeliveredId() {
		return Optional.ofNullable(this.lastDeliveredId);
	}

	private static Optional<Long> parseNumber(String id) {
		try {
			return Optional.of(Long.parseLong(id));
		}
		catch (NumberFormatException ex) {
			// An id that is not a number has no order, so the event is delivered as
			// received.
			return Optional.empty();
		}
	}

	/**
	 * How to handle an event.
	 */
	public enum Disposition {

		/** Deliver the event to the caller. */
		DELIVER,

		/** Drop the event: the caller has already received it. */
		DUPLICATE,

		/** An earlier event is missing, so the stream cannot be resumed. */
		GAP

	}

}
