package org.skylarkspring.core.model;

/**
 * How far a backend server has warmed up. Records merge by the higher incarnation, then
 * by the higher cold epoch, then by the longer healthy time.
 *
 * @param serverId name of the server
 * @param incarnation number that rises when the server restarts
 * @param coldEpoch number that rises when the same incarnation turns cold again
 * @param healthyMillis time during which the server was seen healthy since then
 */
public record WarmupRecord(String serverId, long incarnation, long coldEpoch, long healthyMillis) {

	/**
	 * Returns whether this record replaces another one of the same server.
	 * @param other the record to compare with, not {@code null}
	 * @return {@code true} if this record is newer or knows of a longer healthy time
	 */
	public boolean supersedes(WarmupRecord other) {
		if (this.incarnation != other.incarnation) {
			return this.incarnation > other.incarnation;
		}
		if (this.coldEpoch != other.coldEpoch) {
			return this.coldEpoch > other.coldEpoch;
		}
		return this.healthyMillis > other.healthyMillis;
	}

}
