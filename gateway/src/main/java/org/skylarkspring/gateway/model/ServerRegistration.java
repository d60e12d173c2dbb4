package org.skylarkspring.gateway.model;

/**
 * A backend server as the platform lists it.
 *
 * @param id name of the server
 * @param service service the server belongs to
 * @param address IP address and port
 * @param dataCentre data centre the server stands in
 * @param slots number of requests the server runs at once
 * @param draining whether the server is about to leave
 * @param coldRemainingMillis how much longer the server bears only little load
 * @param startedAtEpochMillis when the server started, 0 if unknown
 */
public record ServerRegistration(String id, String service, String address, String dataCentre, int slots,
		boolean draining, long coldRemainingMillis, long startedAtEpochMillis) {

	/**
	 * Returns the run of the server that is listed.
	 * @return the run
	 */
	public ServerIncarnation incarnation() {
		return new ServerIncarnation(this.id, this.startedAtEpochMillis);
	}

	/**
	 * Returns whether another listing is of the same run of the same server.
	 * @param other the other listing
	 * @return {@code true} if nothing the server held can have been lost
	 */
	public boolean isSameIncarnation(ServerRegistration other) {
		return this.id.equals(other.id) && this.startedAtEpochMillis == other.startedAtEpochMillis
				&& this.address.equals(other.address);
	}

}
