package org.skylarkspring.entry;

import java.util.List;

/**
 * Settings of one entry instance.
 *
 * @param instanceId unique name of the instance
 * @param dataCentre data centre of the instance
 * @param callerAddress IP address and port for callers
 * @param controlAddress IP address and port for peers and administration
 * @param platformAddress IP address and port of the platform's object API
 * @param peers control addresses of peers to start from, may be empty
 * @param peerKey credential between entry instances
 * @param adminKey credential of operators
 * @param logFormat {@code TEXT} or {@code JSON}
 * @param maximumOpenRequests requests served at one time
 * @param maximumConnections connections accepted at one time
 * @param bodyTimeoutMillis time within which a request body must arrive
 * @param ioThreads number of threads for input and output
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
