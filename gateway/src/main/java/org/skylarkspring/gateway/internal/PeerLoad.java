package org.skylarkspring.gateway.internal;

import java.util.List;

/**
 * What an instance tells its peers of the requests it has placed.
 *
 * @param instanceId name of the instance
 * @param loads load placed on each server
 * @param draining servers listed as about to leave
 */
record PeerLoad(String instanceId, List<ServerLoad> loads, List<String> draining) {

	/**
	 * Load that one instance has placed on a server.
	 *
	 * @param serverId name of the server
	 * @param running number of requests
	 * @param promisedTokens memory promised to them
	 * @param unreadTokens prompt tokens of those not answered yet
	 */
	record ServerLoad(String serverId, int running, long promisedTokens, long unreadTokens) {
	}

}
