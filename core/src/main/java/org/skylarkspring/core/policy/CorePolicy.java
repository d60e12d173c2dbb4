package org.skylarkspring.core.policy;

import java.util.Objects;

/**
 * The choices of a decision core that vary. <pre class="code">
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
	 * Returns the rule that ranks servers.
	 * @return the rule
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
	 * Returns the rule that promises memory.
	 * @return the rule
	 */
	public MemoryReservationPolicy memoryReservation() {
		return this.memoryReservation;
	}

	/**
	 * Returns whether workspaces share a queue by weight.
	 * @return {@code false} for first come, first served
	 */
	public boolean fairQueueing() {
		return this.fairQueueing;
	}

	/**
	 * Returns whether requests are refused as soon as their wait cannot meet the
	 * deadline.
	 * @return {@code false} to refuse at the deadline only
	 */
	public boolean earlyRejection() {
		return this.earlyRejection;
	}

	/**
	 * Returns the width of the random part added to each cost.
	 * @return the width, 0 for none
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
		 * Sets the rule that ranks servers.
		 * @param cost the rule, not {@code null}
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
		 * Sets the rule that promises memory.
		 * @param memoryReservation the rule, not {@code null}
		 * @return this builder
		 */
		public Builder memoryReservation(MemoryReservationPolicy memoryReservation) {
			this.memoryReservation = Objects.requireNonNull(memoryReservation, "promise must not be null");
			return this;
		}

		/**
		 * Sets whether workspaces share a queue by weight.
		 * @param fairQueueing {@code false} for first come, first served
		 * @return this builder
		 */
		public Builder fairQueueing(boolean fairQueueing) {
			this.fairQueueing = fairQueueing;
			return this;
		}

		/**
		 * Sets whether requests are refused as soon as their wait cannot meet the
		 * deadline.
		 * @param earlyRejection {@code false} to refuse at the deadline only
		 * @return this builder
		 */
		public Builder earlyRejection(boolean earlyRejection) {
			this.earlyRejection = earlyRejection;
			return this;
		}

		/**
		 * Sets the width of the random part added to each cost.
		 * @param costJitter the width, not negative
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
		 * Returns the policy.
		 * @return a new policy
		 */
		public CorePolicy build() {
			return new CorePolicy(this);
		}

	}

}
