package org.skylarkspring.entry;

import java.util.List;

/**
 * Settings of one entry instance. The text of {@link #toString()} contains no secrets.
 *
 * @param instanceId unique identifier of the instance
 * @param dataCentre name of the instance's data centre
 * @param callerAddress IP address and port of the listener for callers
 * @param controlAddress IP address and port of the listener for peers and operators
 * @param platformAddress IP address and port of the platform's object API
 * @param peers control addresses of the initial peers, may be empty
 * @param peerKey shared secret that authenticates entry instances to each other
 * @param adminKey secret that authenticates operators
 * @param logFormat log format, {@code TEXT} or {@code JSON}
 * @param maximumOpenRequests maximum number of concurrent requests
 * @param maximumConnections maximum number of concurrent caller connections
 * @param bodyTimeoutMillis timeout for receiving a request body, in milliseconds
 * @param ioThreads number of I/O threads
 */
public record EntrySettings(String instanceId, String dataCentre, String callerAddress, String controlAddress,
		String platformAddress, List<String> peers, String peerKey, String adminKey, String logFormat,
		int maximumOpenRequests, int maximumConnections, long bodyTimeoutMillis, int ioThreads) {

	@Override
	public String toString() {
		return "EntrySettings[instanceId=" + this.instanceId + ", dataCentre=" + this.dataCentre + ", callerAddress="
				+ this.callerAddress + ", controlAddress=" + this.controlAddress + ", platformAddress="
				+ this.platformAddress + ", peers=" + this.peers + "]";
	}

}
