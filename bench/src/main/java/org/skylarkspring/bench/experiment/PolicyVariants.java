package org.skylarkspring.bench.experiment;

import java.util.List;

import org.skylarkspring.core.policy.AdmissionRules;
import org.skylarkspring.core.policy.CorePolicy;
import org.skylarkspring.core.policy.MemoryReservationPolicies;
import org.skylarkspring.core.policy.PlacementCosts;

/**
 * Named policies that experiments compare.
 */
public final class PolicyVariants {

	private PolicyVariants() {
	}

	/**
	 * Returns all variants, baselines first.
	 * @return the policies
	 */
	public static List<CorePolicy> all() {
		return List.of(roundRobin(), leastOutstanding(), reserveNothing(), reserveMaximum(), reserveMean(),
				firstComeFirstServed(), withoutPrefixAffinity(), withReportedLoad(), withoutReserve(), standard());
	}

	/**
	 * Returns the variants that experiments compare by default.
	 * @return the policies
	 */
	public static List<CorePolicy> defaults() {
		return List.of(roundRobin(), leastOutstanding(), standard());
	}

	/**
	 * Returns the default policy of entry instances.
	 * @return the policy
	 */
	public static CorePolicy standard() {
		return CorePolicy.builder().name("standard").build();
	}

	static CorePolicy leastOutstanding() {
		return baseline().name("least-outstanding").cost(PlacementCosts.leastOutstanding()).build();
	}

	static CorePolicy roundRobin() {
		return baseline().name("round-robin").cost(PlacementCosts.roundRobin()).costJitter(0).build();
	}

	static CorePolicy reserveNothing() {
		return CorePolicy.builder().name("reserve-nothing").memoryReservation(MemoryReservationPolicies.none()).build();
	}

	static CorePolicy reserveMaximum() {
		return CorePolicy.builder()
			.name("reserve-maximum")
			.memoryReservation(MemoryReservationPolicies.maximum())
			.build();
	}

	static CorePolicy reserveMean() {
		return CorePolicy.builder().name("reserve-mean").memoryReservation(MemoryReservationPolicies.mean()).build();
	}

	static CorePolicy firstComeFirstServed() {
		return CorePolicy.builder().name("first-come").fairQueueing(false).build();
	}

	static CorePolicy withoutPrefixAffinity() {
		return CorePolicy.builder().name("no-prefix").cost(PlacementCosts.ownLoad()).build();
	}

	static CorePolicy withReportedLoad() {
		return CorePolicy.builder().name("reported-load").cost(PlacementCosts.loadAndPrefix()).build();
	}

	static CorePolicy withoutReserve() {
		return CorePolicy.builder().name("no-reserve").admission(AdmissionRules.withinLimits()).build();
	}

	private static CorePolicy.Builder baseline() {
		return CorePolicy.builder().admission(AdmissionRules.always()).fairQueueing(false).earlyRejection(false);
	}

}
