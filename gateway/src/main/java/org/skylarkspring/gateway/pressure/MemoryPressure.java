package org.skylarkspring.gateway.pressure;

/**
 * Decides whether an instance is so short of memory that it turns new work away, before
 * the lack of memory ends the running work too.
 */
public final class MemoryPressure {

	/** Share of the limit above which new work is turned away. */
	static final double SHED_SHARE = 0.85;

	/**
	 * Share of the limit below which new work is taken again. Lower than the other one,
	 * so that the decision does not change with each request.
	 */
	static final double ACCEPT_SHARE = 0.75;

	/**
	 * Age above which a sample proves nothing. Collections follow each other in much less
	 * time when memory is short.
	 */
	static final long MAXIMUM_AGE_MILLIS = 5_000;

	private MemoryDecision decision = new MemoryDecision.Accept();

	/**
	 * Decides anew.
	 * @param sample memory of the instance now
	 * @return {@code true} if new work was taken and no longer is, or the other way round
	 */
	public boolean update(MemorySample sample) {
		boolean wasShedding = isShedding();
		double share = (double) sample.liveBytes() / sample.limitBytes();
		boolean shed = sample.ageMillis() <= MAXIMUM_AGE_MILLIS && share > (wasShedding ? ACCEPT_SHARE : SHED_SHARE);
		this.decision = shed ? new MemoryDecision.Shed(sample) : new MemoryDecision.Accept();
		return shed != wasShedding;
	}

	/**
	 * Returns the current decision.
	 * @return the decision
	 */
	public MemoryDecision decision() {
		return this.decision;
	}

	/**
	 * Returns whether new work is turned away.
	 * @return {@code false} if it is taken
	 */
	public boolean isShedding() {
		return this.decision instanceof MemoryDecision.Shed;
	}

}
