package org.skylarkspring.gateway.internal;

import java.util.List;

import org.skylarkspring.gateway.model.ServerIncarnation;

/**
 * What an instance tells another one of the requests placed.
 *
 * @param instanceId name of the instance that tells
 * @param relay whether the loads are those of several instances, which the teller passes
 * on
 * @param loads load placed on each server
 * @param draining servers listed as about to leave
 */
record PeerLoadReport(String instanceId, boolean relay, List<ServerLoad> loads, List<ServerIncarnation> draining) {

	boolean hasRequiredFields() {
		return this.instanceId != null && this.loads != null && this.draining != null;
	}

	/**
	 * Load placed on a server.
	 *
	 * @param serverId name of the server
	 * @param running number of requests
	 * @param promisedTokens memory promised to them
	 * @param unreadTokens prompt tokens of those not answered yet
	 */
	record ServerLoad(String serverId, int running, long promisedTokens, long unreadTokens) {

		ServerLoad plus(ServerLoad other) {
			return new ServerLoad(this.serverId, this.running + other.running,
					this.promisedTokens + other.promisedTokens, this.unreadTokens + other.unreadTokens);
		}

	}

}
