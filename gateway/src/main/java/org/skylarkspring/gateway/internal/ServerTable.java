package org.skylarkspring.gateway.internal;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Consumer;

import org.skylarkspring.gateway.model.ServerIncarnation;
import org.skylarkspring.gateway.model.ServerRegistration;

/**
 * Table of the backend servers, kept up to date from the platform's list.
 */
final class ServerTable {

	/**
	 * Time after the store's return within which lapsed listings of living servers are
	 * back.
	 */
	static final long RELIST_GRACE_MILLIS = 2_300;

	private final Map<String, ServerEntry> entries = new LinkedHashMap<>();

	private final Consumer<ServerEntry> onTerminating;

	private long storeRecoveredMillis = Long.MIN_VALUE / 2;

	private boolean synced;

	ServerTable(Consumer<ServerEntry> onTerminating) {
		this.onTerminating = onTerminating;
	}

	boolean hasSynced() {
		return this.synced;
	}

	Collection<ServerEntry> all() {
		return this.entries.values();
	}

	List<ServerEntry> findByService(String service) {
		return this.entries.values().stream().filter((entry) -> entry.registration.service().equals(service)).toList();
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
	void replaceAll(List<ServerRegistration> listings, boolean afterOutage, long nowMillis) {
		this.synced = true;
		if (afterOutage) {
			this.storeRecoveredMillis = nowMillis;
		}
		Map<String, ServerRegistration> byId = new LinkedHashMap<>();
		listings.forEach((listing) -> byId.put(listing.id(), listing));
		List.copyOf(this.entries.values())
			.stream()
			.filter((entry) -> !byId.containsKey(entry.registration.id()))
			.forEach((entry) -> handleMissingListing(entry, nowMillis));
		byId.values().forEach((listing) -> put(listing, nowMillis));
	}

	/**
	 * Takes the listing of a server.
	 * @param listing the listing
	 * @param nowMillis current time
	 */
	void put(ServerRegistration listing, long nowMillis) {
		ServerEntry known = this.entries.get(listing.id());
		if (known == null || !known.registration.isSameIncarnation(listing)) {
			this.entries.put(listing.id(), new ServerEntry(listing, nowMillis));
			return;
		}
		boolean wasLeaving = known.terminating;
		known.update(listing, nowMillis);
		if (known.terminating && !wasLeaving) {
			this.onTerminating.accept(known);
		}
	}

	/**
	 * Takes the removal of a listing.
	 * @param serverId name of the server
	 * @param nowMillis current time
	 */
	void remove(String serverId, long nowMillis) {
		find(serverId).ifPresent((entry) -> handleMissingListing(entry, nowMillis));
	}

	/**
	 * Takes the news that a server leaves from elsewhere than the list. News of an
	 * earlier run that come late don't count.
	 * @param run the run that ends
	 */
	void markTerminating(ServerIncarnation run) {
		Optional<ServerEntry> stays = find(run.serverId()).filter((entry) -> !entry.terminating)
			.filter((entry) -> entry.registration.incarnation().equals(run));
		stays.ifPresent((entry) -> {
			entry.terminating = true;
			this.onTerminating.accept(entry);
		});
	}

	/**
	 * Returns the servers that are listed as draining.
	 * @return their runs
	 */
	List<ServerIncarnation> drainingRuns() {
		return this.entries.values()
			.stream()
			.filter((entry) -> entry.registration.draining() && !entry.removed)
			.map((entry) -> entry.registration.incarnation())
			.toList();
	}

	/**
	 * Removes listings that have not come back and rows that nothing refers to.
	 * @param nowMillis current time
	 */
	void evictExpiredEntries(long nowMillis) {
		List.copyOf(this.entries.values())
			.stream()
			.filter((entry) -> entry.relistDeadlineMillis >= 0 && nowMillis >= entry.relistDeadlineMillis)
			.forEach(this::markRemoved);
		this.entries.values().removeIf((entry) -> entry.removed && entry.attempts.isEmpty());
	}

	private void handleMissingListing(ServerEntry entry, long nowMillis) {
		if (entry.removed || entry.relistDeadlineMillis >= 0) {
			return;
		}
		long backBy = this.storeRecoveredMillis + RELIST_GRACE_MILLIS;
		if (nowMillis < backBy && !entry.terminating) {
			entry.relistDeadlineMillis = backBy;
		}
		else {
			markRemoved(entry);
		}
	}

	private void markRemoved(ServerEntry entry) {
		boolean wasLeaving = entry.terminating;
		entry.relistDeadlineMillis = -1;
		entry.removed = true;
		entry.terminating = true;
		if (!wasLeaving) {
			this.onTerminating.accept(entry);
		}
	}

}
