package org.skylarkspring.gateway.internal;

import java.util.Collection;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.Consumer;

import org.skylarkspring.gateway.model.ServerIncarnation;
import org.skylarkspring.gateway.model.ServerRegistration;

/**
 * Table of the backend servers, updated from their registrations in the platform's store.
 */
final class ServerTable {

	/**
	 * Time after the end of a store outage within which running servers renew their
	 * expired registrations.
	 */
	static final long RELIST_GRACE_MILLIS = ReappearanceGrace.GRACE_MILLIS;

	/** Many times the servers that drain within the age of a copy of the store. */
	private static final int MAXIMUM_DRAINED = 2_000;

	private final Map<String, ServerEntry> entries = new LinkedHashMap<>();

	/**
	 * Incarnations that were registered as draining or have said so, oldest first. A
	 * drain is final, but a store that returns from a copy may list them as ready again.
	 */
	private final Set<ServerIncarnation> drained = new LinkedHashSet<>();

	private final Consumer<ServerEntry> onTerminating;

	private Consumer<ServerIncarnation> replacementListener = (incarnation) -> {
	};

	private long storeRecoveredMillis = Long.MIN_VALUE / 2;

	private boolean synced;

	ServerTable(Consumer<ServerEntry> onTerminating) {
		this.onTerminating = onTerminating;
	}

	/**
	 * Sets the listener that is told when a server has started again without having given
	 * notice that it terminates.
	 * @param listener receives the incarnation that has ended
	 */
	void setReplacementListener(Consumer<ServerIncarnation> listener) {
		this.replacementListener = listener;
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
	 * Replaces all registrations.
	 * @param registrations registrations of all listed servers
	 * @param afterOutage whether registrations may be missing because they expired while
	 * the store was unreachable
	 * @param nowMillis current time in milliseconds
	 */
	void replaceAll(List<ServerRegistration> registrations, boolean afterOutage, long nowMillis) {
		this.synced = true;
		if (afterOutage) {
			this.storeRecoveredMillis = nowMillis;
		}
		Map<String, ServerRegistration> byId = new LinkedHashMap<>();
		registrations.forEach((registration) -> byId.put(registration.id(), registration));
		List.copyOf(this.entries.values())
			.stream()
			.filter((entry) -> !byId.containsKey(entry.registration.id()))
			.forEach((entry) -> handleMissingRegistration(entry, nowMillis));
		byId.values().forEach((registration) -> addOrUpdate(registration, nowMillis));
	}

	/**
	 * Adds or updates a server. A new incarnation of a known server gets a new entry.
	 * @param registered registration of the server
	 * @param nowMillis current time in milliseconds
	 */
	void addOrUpdate(ServerRegistration registered, long nowMillis) {
		ServerRegistration registration = withKnownDrain(registered);
		ServerEntry existing = this.entries.get(registration.id());
		if (existing == null || !existing.registration.isSameIncarnation(registration)) {
			this.entries.put(registration.id(), new ServerEntry(registration, nowMillis));
			reportReplacement(existing, registration);
			return;
		}
		boolean wasTerminating = existing.terminating;
		existing.update(registration, nowMillis);
		if (existing.terminating && !wasTerminating) {
			this.onTerminating.accept(existing);
		}
	}

	private void reportReplacement(ServerEntry former, ServerRegistration registration) {
		if (former != null && former.acceptsRequests()
				&& !former.registration.incarnation().equals(registration.incarnation())) {
			this.replacementListener.accept(former.registration.incarnation());
		}
	}

	private ServerRegistration withKnownDrain(ServerRegistration registration) {
		if (registration.draining()) {
			rememberDrained(registration.incarnation());
			return registration;
		}
		return this.drained.contains(registration.incarnation()) ? registration.asDraining() : registration;
	}

	private void rememberDrained(ServerIncarnation incarnation) {
		this.drained.add(incarnation);
		if (this.drained.size() > MAXIMUM_DRAINED) {
			this.drained.remove(this.drained.iterator().next());
		}
	}

	/**
	 * Handles the removal of a registration.
	 * @param serverId id of the server
	 * @param nowMillis current time in milliseconds
	 */
	void remove(String serverId, long nowMillis) {
		find(serverId).ifPresent((entry) -> handleMissingRegistration(entry, nowMillis));
	}

	/**
	 * Marks a server as terminating on a notice from a source other than its
	 * registration. Ignores late notices about earlier incarnations.
	 * @param incarnation incarnation that terminates
	 */
	void markTerminating(ServerIncarnation incarnation) {
		Optional<ServerEntry> activeEntry = find(incarnation.serverId()).filter((entry) -> !entry.terminating)
			.filter((entry) -> entry.registration.incarnation().equals(incarnation));
		activeEntry.ifPresent((entry) -> {
			entry.terminating = true;
			this.onTerminating.accept(entry);
		});
	}

	/**
	 * Marks a server as draining because it has said so itself, which holds whatever its
	 * registration says.
	 * @param entry the server
	 * @return whether this was not known
	 */
	boolean markLeaving(ServerEntry entry) {
		if (this.drained.contains(entry.registration.incarnation())) {
			return false;
		}
		rememberDrained(entry.registration.incarnation());
		entry.registration = entry.registration.asDraining();
		if (!entry.terminating) {
			entry.terminating = true;
			this.onTerminating.accept(entry);
		}
		return true;
	}

	/**
	 * Returns the servers that are listed as draining or have said so.
	 * @return incarnations of these servers
	 */
	List<ServerIncarnation> drainingIncarnations() {
		return this.entries.values()
			.stream()
			.filter((entry) -> entry.registration.draining() && !entry.removed)
			.map((entry) -> entry.registration.incarnation())
			.toList();
	}

	/**
	 * Marks servers as removed whose registrations have not reappeared in time, and
	 * deletes entries of removed servers that have no attempts left.
	 * @param nowMillis current time in milliseconds
	 */
	void evictExpiredEntries(long nowMillis) {
		List.copyOf(this.entries.values())
			.stream()
			.filter((entry) -> entry.relistDeadlineMillis >= 0 && nowMillis >= entry.relistDeadlineMillis)
			.forEach(this::markRemoved);
		this.entries.values().removeIf((entry) -> entry.removed && entry.attempts.isEmpty());
	}

	private void handleMissingRegistration(ServerEntry entry, long nowMillis) {
		if (entry.removed || entry.relistDeadlineMillis >= 0) {
			return;
		}
		long relistDeadlineMillis = this.storeRecoveredMillis + RELIST_GRACE_MILLIS;
		if (nowMillis < relistDeadlineMillis && !entry.terminating) {
			entry.relistDeadlineMillis = relistDeadlineMillis;
		}
		else {
			markRemoved(entry);
		}
	}

	private void markRemoved(ServerEntry entry) {
		boolean wasTerminating = entry.terminating;
		entry.relistDeadlineMillis = -1;
		entry.removed = true;
		entry.terminating = true;
		if (!wasTerminating) {
			this.onTerminating.accept(entry);
		}
	}

}
