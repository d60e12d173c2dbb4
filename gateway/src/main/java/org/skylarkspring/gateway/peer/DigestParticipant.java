package org.skylarkspring.gateway.peer;

/**
 * Part of a gateway that exchanges sums with its counterparts on the other instances.
 */
public interface DigestParticipant {

	/**
	 * Returns what this instance has to report.
	 * @param nowMillis current time in milliseconds
	 * @return the digest of this instance alone
	 */
	PeerDigest ownDigest(long nowMillis);

	/**
	 * Receives the sums over all other instances whose reports have not expired.
	 * @param peers the sums
	 * @param nowMillis current time in milliseconds
	 */
	void onPeerDigest(PeerDigest peers, long nowMillis);

}
