package org.skylarkspring.gateway.internal;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import org.skylarkspring.gateway.model.ServerListing;
import org.skylarkspring.gateway.model.ServerRun;

/**
 * Table of the backend servers, kept up to date from the platform's list.
 */
final class ServerTable {

	/**
	 * Time after the store's return within which lapsed listings of living servers are
	 * back.
	 */
	static final long LAPSE_GRACE_MILLIS = 2_300;

	private final Map<String, ServerEntry> entries = new LinkedHashMap<>();

	private final Consumer<ServerEntry> onLeaving;

	private long storeBackMillis = Long.MIN_VALUE / 2;

	private boolean listed;

	ServerTable(Consumer<ServerEntry> onLeaving) {
		this.onLeaving = onLeaving;
	}

	boolean listed() {
		return this.listed;
	}

	Collection<ServerEntry> all() {
		return this.entries.values();
	}

	List<ServerEntry> ofService(String service) {
		return this.entries.values().stream().filter((entry) -> entry.listing.service().equals(service)).toList();
	}

	Optional<ServerEntry> find(String serverId) {
		return Optional.ofNullable(this.entries.get(serverId));
	}

	/**
	 * Takes a whole list.
	 * @param listings all servers listed
	 * @param afterOutage whether entries may be missing because the store was away
	 * @param nowMillis current time
	 */
	void replaceAll(List<ServerListing> listings, boolean afterOutage, long nowMillis) {
		this.listed = true;
		if (afterOutage) {
			this.storeBackMillis = nowMillis;
		}
		Map<String, ServerListing> byId = new LinkedHashMap<>();
		listings.forEach((listing) -> byId.put(listing.id(), listing));
		List.copyOf(this.entries.values())
			.stream()
			.filter((entry) -> !byId.containsKey(entry.listing.id()))
			.forEach((entry) -> missing(entry, nowMillis));
		byId.values().forEach((listing) -> put(listing, nowMillis));
	}

	/**
	 * Takes the listing of a server.
	 * @param listing the listing
	 * @param nowMillis current time
	 */
	void put(ServerListing listing, long nowMillis) {
		ServerEntry known = this.entries.get(listing.id());
		if (known == null || !known.listing.sameRun(listing)) {
			this.entries.put(listing.id(), new ServerEntry(listing, nowMillis));
			return;
		}
		boolean wasLeaving = known.leaving;
		known.update(listing, nowMillis);
		if (known.leaving && !wasLeaving) {
			this.onLeaving.accept(known);
		}
	}

	/**
	 * Takes the removal of a listing.
	 * @param serverId name of the server
	 * @param nowMillis current time
	 */
	void remove(String serverId, long nowMillis) {
		find(serverId).ifPresent((entry) -> missing(entry, nowMillis));
	}

	/**
	 * Takes the news that a server leaves from elsewhere than the list. News of an
	 * earlier run that come late don't count.
	 * @param run the run that ends
	 */
	void noticedLeaving(ServerRun run) {
		Optional<ServerEntry> stays = find(run.serverId()).filter((entry) -> !entry.leaving)
			.filter((entry) -> entry.listing.run().equals(run));
		stays.ifPresent((entry) -> {
			entry.leaving = true;
			this.onLeaving.accept(entry);
		});
	}

	/**
	 * Returns the servers that are listed as draining.
	 * @return their runs
	 */
	List<ServerRun> draining() {
		return this.entries.values()
			.stream()
			.filter((entry) -> entry.listing.draining() && !entry.removed)
			.map((entry) -> entry.listing.run())
			.toList();
	}

	/**
	 * Removes listings that have not come back and rows that nothing refers to.
	 * @param nowMillis current time
	 */
	void tick(long nowMillis) {
		List.copyOf(this.entries.values())
			.stream()
			.filter((entry) -> entry.lapsesAtMillis >= 0 && nowMillis >= entry.lapsesAtMillis)
			.forEach(this::leave);
		this.entries.values().removeIf((entry) -> entry.removed && entry.attempts.isEmpty());
	}

	private void missing(ServerEntry entry, long nowMillis) {
		if (entry.removed || entry.lapsesAtMillis >= 0) {
			return;
		}
		long backBy = this.storeBackMillis + LAPSE_GRACE_MILLIS;
		if (nowMillis < backBy && !entry.leaving) {
			entry.lapsesAtMillis = backBy;
		}
		else {
			leave(entry);
		}
	}

	private void leave(ServerEntry entry) {
		boolean wasLeaving = entry.leaving;
		entry.lapsesAtMillis = -1;
		entry.removed = true;
		entry.leaving = true;
		if (!wasLeaving) {
			this.onLeaving.accept(entry);
		}
	}

}
