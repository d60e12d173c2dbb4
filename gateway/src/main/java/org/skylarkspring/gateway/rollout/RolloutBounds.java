package org.skylarkspring.gateway.rollout;

/**
 * Limits on the use of a version while it is tested.
 *
 * @param exposureShare share of the requests for the service that a version which turns
 * out bad may get
 * @param exposureSlack number of requests that it may get in addition
 * @param rollbackMillis time after the 50th bad response within which it must get no
 * requests any more, in milliseconds
 * @param touchMillis age of the knowledge of a rollout above which an instance sends
 * nothing to the new version, in milliseconds
 */
public record RolloutBounds(double exposureShare, double exposureSlack, long rollbackMillis, long touchMillis) {

	/** Covers the time from the check of the age to the arrival of the request. */
	private static final long AGE_SAFETY_MARGIN_MILLIS = 300;

	/**
	 * Returns whether the limits can be kept.
	 * @return {@code false} if they have to be ignored
	 */
	public boolean isValid() {
		return this.exposureShare > 0 && this.exposureShare <= 1 && this.exposureSlack >= 0
				&& Double.isFinite(this.exposureSlack) && this.rollbackMillis > 0
				&& this.touchMillis > AGE_SAFETY_MARGIN_MILLIS;
	}

	/**
	 * Returns up to which age the knowledge of a rollout allows the use of the new
	 * version. The rollback limit holds for instances that learn of no decision, too.
	 * @return the age in milliseconds
	 */
	public long maximumAgeMillis() {
		return Math.min(this.touchMillis, this.rollbackMillis) - AGE_SAFETY_MARGIN_MILLIS;
	}

}
