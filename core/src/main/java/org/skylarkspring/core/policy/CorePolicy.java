package org.skylarkspring.core.policy;

import java.util.Objects;

/**
 * Configurable scheduling policy of a decision core. <pre class="code">
 * CorePolicy policy = CorePolicy.builder().cost(PlacementCosts.leastOutstanding()).build();
 * </pre>
 */
public final class CorePolicy {

	private final String name;

	private final PlacementCost cost;

	private final AdmissionRule admission;

	private final MemoryReservationPolicy memoryReservation;

	private final boolean fairQueueing;

	private final boolean earlyRejection;

	private final double costJitter;

	private CorePolicy(Builder builder) {
		this.name = builder.name;
		this.cost = builder.cost;
		this.admission = builder.admission;
		this.memoryReservation = builder.memoryReservation;
		this.fairQueueing = builder.fairQueueing;
		this.earlyRejection = builder.earlyRejection;
		this.costJitter = builder.costJitter;
	}

	/**
	 * Starts building a policy from the default one.
	 * @return a builder
	 */
	public static Builder builder() {
		return new Builder();
	}

	/**
	 * Returns the name shown in reports.
	 * @return the name
	 */
	public String name() {
		return this.name;
	}

	/**
	 * Returns the cost function that ranks servers.
	 * @return the cost function
	 */
	public PlacementCost cost() {
		return this.cost;
	}

	/**
	 * Returns the rule that admits requests to servers.
	 * @return the rule
	 */
	public AdmissionRule admission() {
		return this.admission;
	}

	/**
	 * Returns the policy that determines memory reservations.
	 * @return the policy
	 */
	public MemoryReservationPolicy memoryReservation() {
		return this.memoryReservation;
	}

	/**
	 * Returns whether workspaces share the queue in proportion to their weights.
	 * @return {@code false} for first-come, first-served order
	 */
	public boolean fairQueueing() {
		return this.fairQueueing;
	}

	/**
	 * Returns whether requests are rejected as soon as their expected wait exceeds the
	 * deadline.
	 * @return {@code false} to reject requests only at the deadline
	 */
	public boolean earlyRejection() {
		return this.earlyRejection;
	}

	/**
	 * Returns the width of the random jitter added to each placement cost.
	 * @return the width in units of the cost, 0 for none
	 */
	public double costJitter() {
		return this.costJitter;
	}

	/**
	 * Builds a {@link CorePolicy}.
	 */
	public static final class Builder {

		private static final double DEFAULT_COST_JITTER = 0.04;

		private String name = "default";

		private PlacementCost cost = PlacementCosts.ownLoadAndPrefix();

		private AdmissionRule admission = AdmissionRules.withinLimitsByWorkClass();

		private MemoryReservationPolicy memoryReservation = MemoryReservationPolicies.quantile();

		private boolean fairQueueing = true;

		private boolean earlyRejection = true;

		private double costJitter = DEFAULT_COST_JITTER;

		private Builder() {
		}

		/**
		 * Sets the name shown in reports.
		 * @param name the name, not {@code null}
		 * @return this builder
		 */
		public Builder name(String name) {
			this.name = Objects.requireNonNull(name, "name must not be null");
			return this;
		}

		/**
		 * Sets the cost function that ranks servers.
		 * @param cost the cost function, not {@code null}
		 * @return this builder
		 */
		public Builder cost(PlacementCost cost) {
			this.cost = Objects.requireNonNull(cost, "cost must not be null");
			return this;
		}

		/**
		 * Sets the rule that admits requests to servers.
		 * @param admission the rule, not {@code null}
		 * @return this builder
		 */
		public Builder admission(AdmissionRule admission) {
			this.admission = Objects.requireNonNull(admission, "admission must not be null");
			return this;
		}

		/**
		 * Sets the policy that determines memory reservations.
		 * @param memoryReservation the policy, not {@code null}
		 * @return this builder
		 */
		public Builder memoryReservation(MemoryReservationPolicy memoryReservation) {
			this.memoryReservation = Objects.requireNonNull(memoryReservation, "memoryReservation must not be null");
			return this;
		}

		/**
		 * Sets whether workspaces share the queue in proportion to their weights.
		 * @param fairQueueing {@code false} for first-come, first-served order
		 * @return this builder
		 */
		public Builder fairQueueing(boolean fairQueueing) {
			this.fairQueueing = fairQueueing;
			return this;
		}

		/**
		 * Sets whether requests are rejected as soon as their expected wait exceeds the
		 * deadline.
		 * @param earlyRejection {@code false} to reject requests only at the deadline
		 * @return this builder
		 */
		public Builder earlyRejection(boolean earlyRejection) {
			this.earlyRejection = earlyRejection;
			return this;
		}

		/**
		 * Sets the width of the random jitter added to each placement cost.
		 * @param costJitter the width in units of the cost, not negative
		 * @return this builder
		 * @throws IllegalArgumentException if the width is negative
		 */
		public Builder costJitter(double costJitter) {
			if (costJitter < 0) {
				throw new IllegalArgumentException("costJitter must not be negative: " + costJitter);
			}
			this.costJitter = costJitter;
			return this;
		}

		/**
		 * Builds the policy.
		 * @return a new policy
		 */
		public CorePolicy build() {
			return new CorePolicy(this);
		}

	}

}
