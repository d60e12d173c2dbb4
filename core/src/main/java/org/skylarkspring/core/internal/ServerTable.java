package org.skylarkspring.core.internal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.skylarkspring.core.model.InstanceRecord;

/**
 * All backend servers that the platform has listed.
 */
final class ServerTable {

	private final Map<String, ServerEntry> byId = new LinkedHashMap<>();

	private final Map<String, List<ServerEntry>> byPool = new LinkedHashMap<>();

	Optional<ServerEntry> find(String serverId) {
		return Optional.ofNullable(this.byId.get(serverId));
	}

	ServerEntry addIfAbsent(InstanceRecord listing) {
		return this.byId.computeIfAbsent(listing.instanceId(), (id) -> add(listing));
	}

	void remove(ServerEntry server) {
		this.byId.remove(server.serverId);
		this.byPool.get(server.instanceRecord.pool()).remove(server);
	}

	List<ServerEntry> serversOfPool(String pool) {
		return this.byPool.getOrDefault(pool, List.of());
	}

	Collection<ServerEntry> all() {
		return this.byId.values();
	}

	private ServerEntry add(InstanceRecord listing) {
		ServerEntry server = new ServerEntry(listing);
		this.byPool.computeIfAbsent(listing.pool(), (pool) -> new ArrayList<>()).add(server);
		return server;
	}

}
