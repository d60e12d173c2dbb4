package org.skylarkspring.core.internal;

import java.util.ArrayList;
import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.skylarkspring.core.model.InstanceRecord;

/**
 * Table of the backend servers in the platform's instance list, and of those removed from
 * the list that still have attempts.
 */
final class ServerTable {

	private final Map<String, ServerEntry> byId = new LinkedHashMap<>();

	private final Map<String, List<ServerEntry>> byPool = new LinkedHashMap<>();

	Optional<ServerEntry> find(String serverId) {
		return Optional.ofNullable(this.byId.get(serverId));
	}

	ServerEntry addIfAbsent(InstanceRecord instanceRecord) {
		return this.byId.computeIfAbsent(instanceRecord.instanceId(), (id) -> add(instanceRecord));
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

	private ServerEntry add(InstanceRecord instanceRecord) {
		ServerEntry server = new ServerEntry(instanceRecord);
		this.byPool.computeIfAbsent(instanceRecord.pool(), (pool) -> new ArrayList<>()).add(server);
		return server;
	}

}
