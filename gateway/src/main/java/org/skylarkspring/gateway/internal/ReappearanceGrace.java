package org.skylarkspring.gateway.internal;

import java.util.HashSet;
import java.util.Set;
import java.util.function.Consumer;

/**
 * Gives entries that a list lacks after the store was away some time to reappear, because
 * their writers write them again. Entries that are missing after that are gone.
 */
final class ReappearanceGrace {

	/** Time after the store's return within which writers renew their entries. */
	static final long GRACE_MILLIS = 2_300;

	private final Scheduler scheduler;

	private final Consumer<String> goneConsumer;

	private final Set<String> missing = new HashSet<>();

	private long graceEndMillis = Long.MIN_VALUE / 2;

	/**
	 * Creates an object without missing entries.
	 * @param scheduler clock and timers
	 * @param goneConsumer receives the name of each entry that is gone
	 */
	ReappearanceGrace(Scheduler scheduler, Consumer<String> goneConsumer) {
		this.scheduler = scheduler;
		this.goneConsumer = goneConsumer;
	}

	/**
	 * Compares the known entries with a list.
	 * @param known names of the known entries
	 * @param listed names of all listed entries
	 * @param afterOutage whether entries may be missing because the store was away
	 */
	void onListed(Set<String> known, Set<String> listed, boolean afterOutage) {
		long now = this.scheduler.nowMillis();
		if (afterOutage) {
			this.graceEndMillis = now + GRACE_MILLIS;
			this.scheduler.schedule(GRACE_MILLIS, this::endGrace);
		}
		this.missing.clear();
		known.stream().filter((name) -> !listed.contains(name)).forEach(this.missing::add);
		endGrace();
	}

	/**
	 * Records a change of an entry, which is no longer missing.
	 * @param name name of the entry
	 */
	void onChanged(String name) {
		this.missing.remove(name);
	}

	private void endGrace() {
		if (this.scheduler.nowMillis() >= this.graceEndMillis) {
			Set<String> gone = Set.copyOf(this.missing);
			this.missing.clear();
			gone.forEach(this.goneConsumer);
		}
	}

}
