package org.skylarkspring.gateway.policy;

import java.util.Optional;
import java.util.OptionalLong;

/**
 * Detects duplicate and missing events where a stream passes from one run of its
 * generation to another, by the increasing numbers in the event ids. Within a run, the
 * connection neither loses nor repeats events, and the numbers may increase by any step.
 */
public final class EventSequenceTracker {

	private static final long NO_EVENT = Long.MIN_VALUE;

	private long lastDeliveredNumber = NO_EVENT;

	private String lastDeliveredId;

	/** Largest difference between two successive events of a run, 1 if none is known. */
	private long largestStep = 1;

	/**
	 * Starts to follow a run, also while another one still sends events.
	 * @return the run, without an event
	 */
	public Run startRun() {
		return new Run();
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

	/**
	 * Returns the number of the last event that was delivered to the caller.
	 * @return the number, empty if no delivered event had one
	 */
	public OptionalLong lastDeliveredNumber() {
		return (this.lastDeliveredNumber == NO_EVENT) ? OptionalLong.empty()
				: OptionalLong.of(this.lastDeliveredNumber);
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
	 * Events that one server sends of the stream.
	 */
	public final class Run {

		/** Largest number of the run, {@code NO_EVENT} before its first event. */
		private long lastNumber = NO_EVENT;

		private Run() {
		}

		/**
		 * Classifies the next event of the run.
		 * @param event the event
		 * @return how to handle the event
		 */
		public Disposition classify(SseEvent event) {
			return event.id()
				.flatMap(EventSequenceTracker::parseNumber)
				.map(this::classifyNumber)
				.orElse(Disposition.DELIVER);
		}

		private Disposition classifyNumber(long number) {
			long previous = this.lastNumber;
			this.lastNumber = Math.max(previous, number);
			long delivered = EventSequenceTracker.this.lastDeliveredNumber;
			if (delivered == NO_EVENT) {
				return Disposition.DELIVER;
			}
			if (number <= delivered) {
				return Disposition.DUPLICATE;
			}
			if (previous == NO_EVENT) {
				boolean adjacent = number - delivered <= EventSequenceTracker.this.largestStep;
				return adjacent ? Disposition.DELIVER : Disposition.GAP;
			}
			if (previous != delivered) {
				// Part of the event was delivered in one of another run.
				return Disposition.GAP;
			}
			EventSequenceTracker.this.largestStep = Math.max(EventSequenceTracker.this.largestStep, number - previous);
			return Disposition.DELIVER;
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

		/**
		 * An earlier event is missing or overlaps with this one, so the stream cannot be
		 * resumed.
		 */
		GAP

	}

}
