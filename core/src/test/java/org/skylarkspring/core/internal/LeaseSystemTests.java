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
import org.skylarkspring.core.model.StoreResponse;
import org.skylarkspring.core.model.StoredObject;
import org.skylarkspring.core.policy.CorePolicy;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Tests that a lease never has two holders at the same time, even if instances are paused
 * and responses of the store are lost.
 */
class LeaseSystemTests {

	private static final String LEASE_NAME = "duty";

	/** Time by which an instance has acquired a lease and released it again. */
	private static final long RELEASE_MILLIS = 5_000;

	/** Time of the loss of power, by which another instance holds the lease. */
	private static final long LOSS_MILLIS = 7_000;

	/** Time by which the holder of before holds the lease again. */
	private static final long REACQUISITION_MILLIS = 9_000;

	private final Map<String, Long> versions = new HashMap<>();

	private final Map<String, StoredObject> objects = new HashMap<>();

	private long lastVersion;

	private StoreResponse applyToStore(Action action) {
		if (action instanceof Action.StoreRead read) {
			return readObject(read.key());
		}
		Action.StoreWrite write = (Action.StoreWrite) action;
		if (this.versions.getOrDefault(write.key(), 0L) != write.expectedVersion()) {
			return readObject(write.key());
		}
		this.lastVersion++;
		this.versions.put(write.key(), this.lastVersion);
		this.objects.put(write.key(), write.value());
		return new StoreResponse.Written(this.lastVersion);
	}

	private StoreResponse readObject(String key) {
		return this.objects.containsKey(key) ? new StoreResponse.Found(this.versions.get(key), this.objects.get(key))
				: new StoreResponse.NotFound();
	}

	private static long operationIdOf(Action action) {
		return (action instanceof Action.StoreRead read) ? read.operationId()
				: ((Action.StoreWrite) action).operationId();
	}

	@Property(seed = "47", tries = 40)
	void leaseNeverHasTwoHoldersDespitePausesAndLostResponses(@ForAll @IntRange(max = 100_000) int seed) {
		this.versions.clear();
		this.objects.clear();
		SplittableRandom random = new SplittableRandom(seed);
		List<LeaseContender> contenders = new ArrayList<>();
		for (int index = 0; index < 3; index++) {
			contenders.add(new LeaseContender("entry-" + index));
		}
		long lastFencingNumber = 0;
		int stepsWithHolder = 0;
		for (long millis = 0; millis < 120_000; millis += 100) {
			for (LeaseContender contender : contenders) {
				contender.run(millis, random);
			}
			long currentMillis = millis;
			List<LeaseContender> holders = contenders.stream()
				.filter((contender) -> contender.isHolder(currentMillis))
				.toList();
			assertThat("holders at " + millis, holders.size(), lessThanOrEqualTo(1));
			if (!holders.isEmpty()) {
				stepsWithHolder++;
				long fencingNumber = holders.get(0).leaseSystem.fencingNumber(LEASE_NAME);
				assertThat(fencingNumber >= lastFencingNumber, is(true));
				lastFencingNumber = fencingNumber;
			}
		}
		assertThat(stepsWithHolder, greaterThan(200));
	}

	@Nested
	class WhenHolderIsPaused {

		@Test
		void leaseExpiresOnHoldersOwnClock() {
			LeaseContender holder = new LeaseContender("entry-0");
			SplittableRandom random = new SplittableRandom(1);
			holder.faultsEnabled = false;
			for (long millis = 0; millis < 1_000; millis += 100) {
				holder.run(millis, random);
			}
			assertThat(holder.isHolder(1_000), is(true));
			holder.context.nowMillis = 30_000;
			assertThat(holder.leaseSystem.isHeld(LEASE_NAME), is(false));
		}

	}

	@Nested
	class WhenAllInstancesHaveLostPower {

		private final SplittableRandom random = new SplittableRandom(1);

		private LeaseContender startWithNothingKept(String name) {
			LeaseContender contender = new LeaseContender(name);
			contender.faultsEnabled = false;
			return contender;
		}

		private void run(LeaseContender contender, long fromMillis, long toMillis) {
			for (long millis = fromMillis; millis < toMillis; millis += 100) {
				contender.run(millis, this.random);
			}
		}

		// The lease was released once, so that its fencing number is not the first one.
		private long holdLease() {
			LeaseContender earlier = startWithNothingKept("entry-9");
			run(earlier, 0, RELEASE_MILLIS / 5);
			earlier.leaseSystem.setWanted(LEASE_NAME, false);
			run(earlier, RELEASE_MILLIS / 5, RELEASE_MILLIS);
			LeaseContender lost = startWithNothingKept("entry-0");
			run(lost, RELEASE_MILLIS, LOSS_MILLIS);
			assertThat(lost.isHolder(LOSS_MILLIS), is(true));
			return lost.leaseSystem.fencingNumber(LEASE_NAME);
		}

		@Test
		void anotherInstanceWaitsForAcknowledgedLeaseAndTakesHigherFencingNumber() {
			long lostFencingNumber = holdLease();
			LeaseContender restarted = startWithNothingKept("entry-1");
			long millis = LOSS_MILLIS;
			while (!restarted.isHolder(millis) && millis < 60_000) {
				millis += 100;
				restarted.run(millis, this.random);
			}
			assertThat(millis - LOSS_MILLIS, greaterThanOrEqualTo(LeaseSystem.LEASE_DURATION_MILLIS));
			assertThat(restarted.isHolder(millis), is(true));
			assertThat(restarted.leaseSystem.fencingNumber(LEASE_NAME), greaterThan(lostFencingNumber));
		}

		@Test
		void restartedHolderDoesNotGoBackToLowerFencingNumber() {
			long lostFencingNumber = holdLease();
			LeaseContender restarted = startWithNothingKept("entry-0");
			run(restarted, LOSS_MILLIS, REACQUISITION_MILLIS);
			assertThat(restarted.isHolder(REACQUISITION_MILLIS), is(true));
			assertThat(restarted.leaseSystem.fencingNumber(LEASE_NAME), greaterThanOrEqualTo(lostFencingNumber));
		}

	}

	/**
	 * An instance that tries to hold the lease. At random it is paused, and its store
	 * operations fail or lose their responses.
	 */
	private final class LeaseContender {

		private final CoreContext context;

		private final LeaseSystem leaseSystem;

		private long pausedUntilMillis;

		private boolean faultsEnabled = true;

		private LeaseContender(String name) {
			this.context = new CoreContext(name, "kigali-a", CorePolicy.builder().build(), 1);
			this.leaseSystem = new LeaseSystem(this.context);
			this.leaseSystem.setWanted(LEASE_NAME, true);
		}

		private void run(long millis, SplittableRandom random) {
			if (millis < this.pausedUntilMillis) {
				return;
			}
			if (this.faultsEnabled && random.nextInt(200) == 0) {
				this.pausedUntilMillis = millis + random.nextInt(30_000);
				return;
			}
			this.context.nowMillis = millis;
			this.leaseSystem.tick();
			List<Action> operations = this.context.drainActions()
				.stream()
				.filter((action) -> action instanceof Action.StoreRead || action instanceof Action.StoreWrite)
				.toList();
			operations.forEach((action) -> deliverStoreResponse(action, random.nextInt(10)));
		}

		private void deliverStoreResponse(Action action, int chance) {
			if (this.faultsEnabled && chance == 0) {
				this.context.storeOperations.complete(operationIdOf(action), new StoreResponse.Unavailable());
				return;
			}
			StoreResponse response = applyToStore(action);
			boolean lost = this.faultsEnabled && chance == 1;
			this.context.storeOperations.complete(operationIdOf(action),
					lost ? new StoreResponse.ResponseLost() : response);
		}

		// A paused instance does not act as holder; after the pause it checks the lease
		// against its own clock.
		private boolean isHolder(long millis) {
			if (millis < this.pausedUntilMillis) {
				return false;
			}
			this.context.nowMillis = millis;
			return this.leaseSystem.isHeld(LEASE_NAME);
		}

	}

}
