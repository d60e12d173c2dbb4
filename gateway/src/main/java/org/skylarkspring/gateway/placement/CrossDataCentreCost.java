package org.skylarkspring.gateway.placement;

/**
 * Cost of sending a request to another data centre, in loads of a server (1 is a full
 * server). Leaving pays when load and risk of a late response are lower there by more
 * than this.
 */
final class CrossDataCentreCost {

	/** Round trips and the price of the traffic of a small request. */
	private static final double BASE_COST = 0.08;

	private static final double COST_PER_BODY_MEGABYTE = 0.5;

	private static final double BYTES_PER_MEGABYTE = 1_000_000;

	/**
	 * A response is lost if the data centres become disconnected while it is generated.
	 */
	private static final double DISCONNECTION_COST = 0.1;

	/** Added when nothing has been heard from there for {@link #SILENCE_MILLIS}. */
	private static final double SILENCE_COST = 0.15;

	private static final long SILENCE_MILLIS = 10_000;

	/** Added when the servers there are needed by their own instances and others. */
	private static final double NO_ROOM_COST = 0.5;

	/**
	 * Added while others use more of this data centre than it uses of them, so that two
	 * data centres do not exchange their load.
	 */
	private static final double EXCHANGE_COST = 0.15;

	private CrossDataCentreCost() {
	}

	/**
	 * Returns the cost.
	 * @param remoteDataCentre what is known about the way
	 * @param request the request
	 * @return the cost in loads of a server
	 */
	static double of(RemoteDataCentreState remoteDataCentre, PlacementRequest request) {
		double silence = (remoteDataCentre.millisSinceResponse() < 0) ? 1
				: Math.min(1, (double) remoteDataCentre.millisSinceResponse() / SILENCE_MILLIS);
		boolean room = remoteDataCentre.spareTokens() >= request.reservedTokens();
		return BASE_COST + COST_PER_BODY_MEGABYTE * request.bodyBytes() / BYTES_PER_MEGABYTE + DISCONNECTION_COST
				+ SILENCE_COST * silence + (room ? 0 : NO_ROOM_COST)
				+ (remoteDataCentre.netImporter() ? EXCHANGE_COST : 0);
	}

}
