package org.skylarkspring.gateway;

import java.util.Objects;
import java.util.Optional;

import org.skylarkspring.gateway.rollout.RolloutBounds;

/**
 * Settings of a gateway process. <pre class="code">
 * GatewaySettings settings = GatewaySettings.builder("entry-1", "ar-centro-a")
 *     .callerAddress("10.1.0.19:8740")
 *     .build();
 * </pre>
 *
 * @param instanceId id of the instance
 * @param dataCentre data centre of the instance
 * @param callerAddress listen address for callers
 * @param readinessAddress listen address of the readiness endpoint
 * @param metricsAddress listen address of the metrics endpoint
 * @param peerAddress listen address for other instances
 * @param revocationMillis longest time an API key is accepted after its revocation, in
 * milliseconds
 * @param shutdownGraceMillis time from SIGTERM to the end of the process, in milliseconds
 * @param retryRatio retries allowed per request
 * @param fixedRetriesPerWindow retries allowed per window in addition, shared by all
 * instances
 * @param retryWindowMillis length of the window in which retries are counted, in
 * milliseconds
 * @param coldBurstAllowance requests that a cold server accepts in any second in addition
 * to 1.5 times its rate
 * @param cores processor cores the instance may use
 * @param memoryBytes memory above which the process is killed, 0 if unknown
 * @param rollout limits of rollouts; if empty, rollouts are ignored
 */
public record GatewaySettings(String instanceId, String dataCentre, String callerAddress, String readinessAddress,
		String metricsAddress, String peerAddress, long revocationMillis, long shutdownGraceMillis, double retryRatio,
		double fixedRetriesPerWindow, long retryWindowMillis, double coldBurstAllowance, double cores, long memoryBytes,
		Optional<RolloutBounds> rollout) {

	/**
	 * Creates a builder with default values.
	 * @param instanceId id of the instance
	 * @param dataCentre data centre of the instance
	 * @return the builder
	 */
	public static Builder builder(String instanceId, String dataCentre) {
		return new Builder(instanceId, dataCentre);
	}

	/**
	 * Builder for {@link GatewaySettings}.
	 */
	public static final class Builder {

		private final String instanceId;

		private final String dataCentre;

		private String callerAddress = "127.0.0.1:8740";

		private String readinessAddress = "127.0.0.1:8749";

		private String metricsAddress = "127.0.0.1:9464";

		private String peerAddress = "127.0.0.1:7200";

		private long revocationMillis = 5_000;

		private long shutdownGraceMillis = 8_000;

		private double retryRatio = 0.2;

		private double fixedRetriesPerWindow = 50;

		private long retryWindowMillis = 10_000;

		private double coldBurstAllowance = 5;

		private double cores = 1;

		private long memoryBytes;

		private Optional<RolloutBounds> rollout = Optional.empty();

		private Builder(String instanceId, String dataCentre) {
			this.instanceId = Objects.requireNonNull(instanceId, "instanceId");
			this.dataCentre = Objects.requireNonNull(dataCentre, "dataCentre");
		}

		/**
		 * Sets the listen address for callers.
		 * @param address the IP address and port
		 * @return this builder
		 */
		public Builder callerAddress(String address) {
			this.callerAddress = address;
			return this;
		}

		/**
		 * Sets the listen address of the readiness endpoint.
		 * @param address the IP address and port
		 * @return this builder
		 */
		public Builder readinessAddress(String address) {
			this.readinessAddress = address;
			return this;
		}

		/**
		 * Sets the listen address of the metrics endpoint.
		 * @param address the IP address and port
		 * @return this builder
		 */
		public Builder metricsAddress(String address) {
			this.metricsAddress = address;
			return this;
		}

		/**
		 * Sets the listen address for other instances.
		 * @param address the IP address and port
		 * @return this builder
		 */
		public Builder peerAddress(String address) {
			this.peerAddress = address;
			return this;
		}

		/**
		 * Sets the longest time an API key is accepted after its revocation.
		 * @param millis the time in milliseconds, above 0
		 * @return this builder
		 */
		public Builder revocationMillis(long millis) {
			this.revocationMillis = requirePositive("revocationMillis", millis);
			return this;
		}

		/**
		 * Sets the time from SIGTERM to the end of the process.
		 * @param millis the time in milliseconds, above 0
		 * @return this builder
		 */
		public Builder shutdownGraceMillis(long millis) {
			this.shutdownGraceMillis = requirePositive("shutdownGraceMillis", millis);
			return this;
		}

		/**
		 * Sets the retry budget that all instances share.
		 * @param retryRatio retries allowed per request
		 * @param fixedRetriesPerWindow retries allowed per window in addition
		 * @param windowMillis length of the window in which both are counted, in
		 * milliseconds, above 0
		 * @return this builder
		 */
		public Builder retryBudget(double retryRatio, double fixedRetriesPerWindow, long windowMillis) {
			this.retryRatio = retryRatio;
			this.fixedRetriesPerWindow = fixedRetriesPerWindow;
			this.retryWindowMillis = requirePositive("windowMillis", windowMillis);
			return this;
		}

		/**
		 * Sets the requests that a cold server accepts in any second in addition to 1.5
		 * times its rate.
		 * @param requests number of requests
		 * @return this builder
		 */
		public Builder coldBurstAllowance(double requests) {
			this.coldBurstAllowance = requests;
			return this;
		}

		/**
		 * Sets the processor cores the instance may use. In large clusters, the instances
		 * with the most cores in each data centre relay load reports between the others.
		 * @param count number of cores, a fraction on small machines
		 * @return this builder
		 */
		public Builder cores(double count) {
			this.cores = count;
			return this;
		}

		/**
		 * Sets the memory above which the process is killed.
		 * @param bytes number of bytes, 0 if unknown
		 * @return this builder
		 */
		public Builder memoryBytes(long bytes) {
			this.memoryBytes = bytes;
			return this;
		}

		/**
		 * Sets the limits of rollouts. Without them, rollouts are ignored.
		 * @param bounds the limits
		 * @return this builder
		 */
		public Builder rollout(Optional<RolloutBounds> bounds) {
			this.rollout = bounds;
			return this;
		}

		/**
		 * Builds the settings.
		 * @return the settings
		 */
		public GatewaySettings build() {
			return new GatewaySettings(this.instanceId, this.dataCentre, this.callerAddress, this.readinessAddress,
					this.metricsAddress, this.peerAddress, this.revocationMillis, this.shutdownGraceMillis,
					this.retryRatio, this.fixedRetriesPerWindow, this.retryWindowMillis, this.coldBurstAllowance,
					this.cores, this.memoryBytes, this.rollout);
		}

		private static long requirePositive(String name, long value) {
			if (value <= 0) {
				throw new IllegalArgumentException(name + " must be above 0 but is " + value);
			}
			return value;
		}

	}

}
