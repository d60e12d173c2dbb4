package org.skylarkspring.gateway.pressure;

import org.skylarkspring.gateway.peer.DigestEntry;

/**
 * Bodies of the requests that a server holds.
 *
 * @param serverId id of the server
 * @param bytes number of bytes
 */
public record ServerBodies(String serverId, long bytes) implements DigestEntry<ServerBodies> {

	/** Above the memory of any server. */
	private static final long MAXIMUM_BYTES = 1L << 50;

	@Override
	public String key() {
		return this.serverId;
	}

	@Override
	public ServerBodies plus(ServerBodies other) {
		return new ServerBodies(this.serverId, this.bytes + other.bytes);
	}

	@Override
	public boolean isValid() {
		return this.bytes >= 0 && this.bytes <= MAXIMUM_BYTES;
	}

}
