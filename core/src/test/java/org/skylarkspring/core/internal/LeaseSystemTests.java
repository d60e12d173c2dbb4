package org.skylarkspring.core.internal;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.SplittableRandom;

import net.jqwik.api.ForAll;
import net.jqwik.api.Property;
import net.jqwik.api.constraints.IntRange;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.skylarkspring.core.action.Action;
import org.skylarkspring.core.model.StoreAnswer;
import org.skylarkspring.core.model.StoredObject;
import org.skylarkspring.core.policy.CorePolicy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * A lease has one holder at a time, whatever pauses and whatever the store loses.
 */
class LeaseSystemTests {

	private static final String LEASE = "duty";

	private final Map<String, Long> versions = new HashMap<>();

	private final Map<String, StoredObject> objects = new HashMap<>();

	private long lastVersion;

	private StoreAnswer apply(Action action) {
		if (action instanceof Action.StoreRead read) {
			return found(read.key());
		}
		Action.StoreWrite write = (Action.StoreWrite) action;
		if (this.versions.getOrDefault(write.key(), 0L) != write.expectedVersion()) {
			return found(write.key());
		}
		this.lastVersion++;
		this.versions.put(write.key(), this.lastVersion);
		this.objects.put(write.key(), write.value());
		return new StoreAnswer.Written(this.lastVersion);
	}

	private StoreAnswer found(String key) {
		return this.objects.containsKey(key) ? new StoreAnswer.Found(this.versions.get(key), this.objects.get(key))
				: new StoreAnswer.Absent();
	}

	private static long operation(Action action) {
		return (action instanceof Action.StoreRead read) ? read.operationId()
				: ((Action.StoreWrite) action).operationId();
	}

	@Property(seed = "47", tries = 40)
	void neverHasTwoHolders(@ForAll @IntRange(max = 100_000) int seed) {
		this.versions.clear();
		this.objects.clear();
		SplittableRandom random = new SplittableRandom(seed);
		List<Contender> contenders = new ArrayList<>();
		for (int index = 0; index < 3; index++) {
			contenders.add(new Contender("entry-" + index));
		}
		long lastFencing = 0;
		int held = 0;
		for (long millis = 0; millis < 120_000; millis += 100) {
			for (Contender contender : contenders) {
				contender.run(millis, random);
			}
			long now = millis;
			List<Contender> holders = contenders.stream().filter((each) -> each.holds(now)).toList();
			assertThat("holders at " + millis, holders.size(), lessThanOrEqualTo(1));
			if (!holders.isEmpty()) {
				held++;
				long fencing = holders.get(0).leases.fencingNumber(LEASE);
				assertThat(fencing >= lastFencing, is(true));
				lastFencing = fencing;
			}
		}
		assertThat(held, greaterThan(200));
	}

	@Nested
	class PausedHolder {

		@Test
		void stopsByItsOwnClock() {
			Contender holder = new Contender("entry-0");
			SplittableRandom calm = new SplittableRandom(1);
			holder.faults = false;
			for (long millis = 0; millis < 1_000; millis += 100) {
				holder.run(millis, calm);
			}
			assertThat(holder.holds(1_000), is(true));
			holder.context.nowMillis = 30_000;
			assertThat(holder.leases.held(LEASE), is(false));
		}

	}

	/**
	 * One instance that wants the lease, now and then paused or cut off.
	 */
	private final class Contender {

		private final CoreContext context;

		private final LeaseSystem leases;

		private long pausedUntilMillis;

		private boolean faults = true;

		private Contender(String name) {
			this.context = new CoreContext(name, "kigali-a", CorePolicy.builder().build(), 1);
			this.leases = new LeaseSystem(this.context);
			this.leases.want(LEASE, true);
		}

		private void run(long millis, SplittableRandom random) {
			if (millis < this.pausedUntilMillis) {
				return;
			}
			if (this.faults && random.nextInt(200) == 0) {
				this.pausedUntilMillis = millis + random.nextInt(30_000);
				return;
			}
			this.context.nowMillis = millis;
			this.leases.tick();
			List<Action> operations = this.context.takeActions()
				.stream()
				.filter((action) -> action instanceof Action.StoreRead || action instanceof Action.StoreWrite)
				.toList();
			operations.forEach((action) -> answer(action, random.nextInt(10)));
		}

		private void answer(Action action, int chance) {
			if (this.faults && chance == 0) {
				this.context.store.answered(operation(action), new StoreAnswer.Unavailable());
				return;
			}
			StoreAnswer answer = apply(action);
			boolean lost = this.faults && chance == 1;
			this.context.store.answered(operation(action), lost ? new StoreAnswer.Lost() : answer);
		}

		// A paused instance acts on its own clock once it runs again.
		private boolean holds(long millis) {
			if (millis < this.pausedUntilMillis) {
				return false;
			}
			this.context.nowMillis = millis;
			return this.leases.held(LEASE);
		}

	}

}
