package org.skylarkspring.core;

import java.util.Objects;

import org.skylarkspring.core.internal.CorePipeline;
import org.skylarkspring.core.policy.CorePolicy;

/**
 * Builds a {@link DecisionCore}.
 */
public final class DecisionCoreBuilder {

	private final String instanceId;

	private final String dataCentre;

	private CorePolicy policy = CorePolicy.builder().build();

	private long seed;

	DecisionCoreBuilder(String instanceId, String dataCentre) {
		this.instanceId = Objects.requireNonNull(instanceId, "instanceId must not be null");
		this.dataCentre = Objects.requireNonNull(dataCentre, "dataCentre must not be null");
	}

	/**
	 * Sets the scheduling policy.
	 * @param policy the policy, not {@code null}
	 * @return this builder
	 */
	public DecisionCoreBuilder policy(CorePolicy policy) {
		this.policy = Objects.requireNonNull(policy, "policy must not be null");
		return this;
	}

	/**
	 * Sets the seed of the random number generator, from which all random choices are
	 * drawn.
	 * @param seed the seed
	 * @return this builder
	 */
	public DecisionCoreBuilder seed(long seed) {
		this.seed = seed;
		return this;
	}

	/**
	 * Builds the core.
	 * @return a new core without a configuration
	 */
	public DecisionCore build() {
		return new DecisionCore(new CorePipeline(this.instanceId, this.dataCentre, this.policy, this.seed));
	}

}
