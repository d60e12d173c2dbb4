package org.skylarkspring.gateway.policy;

import java.util.Optional;

/**
 * Decides which events of a continued stream are new to the caller, by their rising
 * numbers.
 */
public final class EventOrder {

	private static final long NONE = Long.MIN_VALUE;

	private long last = NONE;

	private String lastId;

	/**
	 * Judges the next event.
	 * @param event the event
	 * @return what to do with it
	 */
	public Judgement judge(StreamEvent event) {
		Optional<Long> number = event.id().flatMap(EventOrder::number);
		if (number.isEmpty() || this.last == NONE || number.get() == this.last + 1) {
			return Judgement.NEXT;
		}
		return (number.get() <= this.last) ? Judgement.REPEATED : Judgement.GAP;
	}

	/**
	 * Remembers that an event was passed on.
	 * @param event the event
	 */
	public void delivered(StreamEvent event) {
		event.id().ifPresent((id) -> {
			this.lastId = id;
			this.last = number(id).orElse(this.last);
		});
	}

	/**
	 * Returns the id of the last event that was passed on.
	 * @return the id, empty if none had one
	 */
	public Optional<String> lastId() {
		return Optional.ofNullable(this.lastId);
	}

	private static Optional<Long> number(String id) {
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
	public enum Judgement {

		/** Pass it on. */
		NEXT,

		/** The caller has it already. */
		REPEATED,

		/** An event before it is missing; the stream can't go on. */
		GAP

	}

}
