package org.skylarkspring.gateway.model;

/**
 * Registration of a backend server in the platform's store.
 *
 * @param id id of the server
 * @param service service the server belongs to
 * @param address the IP address and port
 * @param dataCentre data centre of the server
 * @param slots number of requests the server runs concurrently
 * @param draining whether the server is about to terminate
 * @param coldRemainingMillis time for which the server remains cold and accepts only a
 * limited rate of requests, in milliseconds
 * @param startedAtEpochMillis start time of the server in milliseconds since the epoch, 0
 * if unknown
 * @param version version of the server, empty if it names none
 */
public record ServerRegistration(String id, String service, String address, String dataCentre, int slots,
		boolean draining, long coldRemainingMillis, long startedAtEpochMillis, String version) {

	/**
	 * Creates the registration of a server that names no version.
	 * @param id id of the server
	 * @param service service the server belongs to
	 * @param address the IP address and port
	 * @param dataCentre data centre of the server
	 * @param slots number of requests the server runs concurrently
	 * @param draining whether the server is about to terminate
	 * @param coldRemainingMillis time for which the server remains cold, in milliseconds
	 * @param startedAtEpochMillis start time of the server in milliseconds since the
	 * epoch, 0 if unknown
	 */
	public ServerRegistration(String id, String service, String address, String dataCentre, int slots, boolean draining,
			long coldRemainingMillis, long startedAtEpochMillis) {
		this(id, service, address, dataCentre, slots, draining, coldRemainingMillis, startedAtEpochMillis, "");
	}

	/**
	 * Returns the registered incarnation of the server.
	 * @return the incarnation
	 */
	public ServerIncarnation incarnation() {
		return new ServerIncarnation(this.id, this.startedAtEpochMillis);
	}

	/**
	 * Returns this registration with the server draining.
	 * @return the registration
	 */
	public ServerRegistration asDraining() {
		return new ServerRegistration(this.id, this.service, this.address, this.dataCentre, this.slots, true,
				this.coldRemainingMillis, this.startedAtEpochMillis, this.version);
	}

	/**
	 * Returns whether another registration describes the same incarnation of the same
	 * server.
	 * @param other the other registration
	 * @return {@code true} if the server cannot have lost state in between
	 */
	public boolean isSameIncarnation(ServerRegistration other) {
		return this.id.equals(other.id) && this.startedAtEpochMillis == other.startedAtEpochMillis
				&& this.address.equals(other.address);
	}

}
