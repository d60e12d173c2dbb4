package org.skylarkspring.core.model;

/**
 * Warm-up progress of a backend server. Of two records, the one with the higher
 * incarnation wins, then the one with the higher cold epoch, then the one with the longer
 * healthy time.
 *
 * @param serverId name of the server
 * @param incarnation number of the server process, increased by each restart
 * @param coldEpoch number, increased each time the same incarnation becomes cold again
 * @param healthyMillis time in milliseconds for which the server was observed healthy in
 * this cold epoch
 */
public record WarmupRecord(String serverId, long incarnation, long coldEpoch, long healthyMillis) {

	/**
	 * Returns whether this record replaces another one of the same server.
	 * @param other the record to compare with, not {@code null}
	 * @return {@code true} if this record is newer or has a longer healthy time
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
