package org.skylarkspring.gateway.placement;

import org.skylarkspring.gateway.peer.DigestEntry;

/**
 * KV cache memory that instances of one data centre use on the servers of another one, or
 * of their own.
 *
 * @param key service, data centre of the instances and data centre of the servers
 * @param tokens memory reserved for running requests, in tokens
 */
public record DataCentreFlow(String key, long tokens) implements DigestEntry<DataCentreFlow> {

	/** Separates the parts of a key; occurs in no name. */
	private static final String SEPARATOR = "\n";

	/** Above the memory of any service. */
	private static final long MAXIMUM_TOKENS = 1_000_000_000_000L;

	/**
	 * Creates an entry.
	 * @param service name of the service
	 * @param from data centre of the instances
	 * @param to data centre of the servers
	 * @param tokens memory reserved for running requests, in tokens
	 * @return the entry
	 */
	public static DataCentreFlow of(String service, String from, String to, long tokens) {
		return new DataCentreFlow(String.join(SEPARATOR, service, from, to), tokens);
	}

	boolean isTo(String service, String to) {
		return this.key.startsWith(service + SEPARATOR) && this.key.endsWith(SEPARATOR + to);
	}

	boolean isFrom(String service, String from) {
		return this.key.startsWith(service + SEPARATOR + from + SEPARATOR);
	}

	@Override
	public DataCentreFlow plus(DataCentreFlow other) {
		return new DataCentreFlow(this.key, this.tokens + other.tokens);
	}

	@Override
	public boolean isValid() {
		return this.tokens >= 0 && this.tokens <= MAXIMUM_TOKENS;
	}

}
