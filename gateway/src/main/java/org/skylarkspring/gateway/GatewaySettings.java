package org.skylarkspring.gateway;

import java.util.Objects;

/**
 * Settings of a gateway process. Times are in milliseconds. <pre class="code">
 * GatewaySettings settings = GatewaySettings.builder("entry-1", "ar-centro-a")
 *     .callerAddress("10.1.0.19:8740")
 *     .build();
 * </pre>
 *
 * @param instanceId name of the instance
 * @param dataCentre data centre the instance stands in
 * @param callerAddress address for callers
 * @param readinessAddress address that tells whether the instance is ready
 * @param metricsAddress address of the metrics
 * @param peerAddress address for other instances
 * @param revocationMillis how long a key may be used after it was taken away
 * @param shutdownGraceMillis time from SIGTERM to the end of the process
 * @param retryRatio repeats allowed for each request
 * @param fixedRetriesPerWindow repeats allowed besides, for all instances
 * @param retryWindowMillis window in which repeats are counted
 * @param coldBurstAllowance requests a second that a cold server bears beyond its rate
 * @param cores processor cores the instance may use
 */
public record GatewaySettings(String instanceId, String dataCentre, String callerAddress, String readinessAddress,
		String metricsAddress, String peerAddress, long revocationMillis, long shutdownGraceMillis, double retryRatio,
		double fixedRetriesPerWindow, long retryWindowMillis, double coldBurstAllowance, double cores) {

	/**
	 * Starts settings with the usual bounds.
	 * @param instanceId name of the instance
	 * @param dataCentre data centre the instance stands in
	 * @return a builder
	 */
	public static Builder builder(String instanceId, String dataCentre) {
		return new Builder(instanceId, dataCentre);
	}

	/**
	 * Builds settings.
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

		private Builder(String instanceId, String dataCentre) {
			this.instanceId = Objects.requireNonNull(instanceId, "instanceId");
			this.dataCentre = Objects.requireNonNull(dataCentre, "dataCentre");
		}

		/**
		 * Sets the address for callers.
		 * @param address address by IP number, with the port
		 * @return this builder
		 */
		public Builder callerAddress(String address) {
			this.callerAddress = address;
			return this;
		}

		/**
		 * Sets the address that tells whether the instance is ready.
		 * @param address address by IP number, with the port
		 * @return this builder
		 */
		public Builder readinessAddress(String address) {
			this.readinessAddress = address;
			return this;
		}

		/**
		 * Sets the address of the metrics.
		 * @param address address by IP number, with the port
		 * @return this builder
		 */
		public Builder metricsAddress(String address) {
			this.metricsAddress = address;
			return this;
		}

		/**
		 * Sets the address for other instances.
		 * @param address address by IP number, with the port
		 * @return this builder
		 */
		public Builder peerAddress(String address) {
			this.peerAddress = address;
			return this;
		}

		/**
		 * Sets how long a key may be used after it was taken away.
		 * @param millis the time, above 0
		 * @return this builder
		 */
		public Builder revocationMillis(long millis) {
			this.revocationMillis = requirePositive("revocationMillis", millis);
			return this;
		}

		/**
		 * Sets the time from SIGTERM to the end of the process.
		 * @param millis the time, above 0
		 * @return this builder
		 */
		public Builder shutdownGraceMillis(long millis) {
			this.shutdownGraceMillis = requirePositive("shutdownGraceMillis", millis);
			return this;
		}

		/**
		 * Sets the budget of repeats of all instances together.
		 * @param ratio repeats allowed for each request
		 * @param extra repeats allowed besides
		 * @param windowMillis window in which both are counted, above 0
		 * @return this builder
		 */
		public Builder retryBudget(double ratio, double extra, long windowMillis) {
			this.retryRatio = ratio;
			this.fixedRetriesPerWindow = extra;
			this.retryWindowMillis = requirePositive("windowMillis", windowMillis);
			return this;
		}

		/**
		 * Sets the requests a second that a cold server bears beyond its rate.
		 * @param requests number of requests
		 * @return this builder
		 */
		public Builder coldBurstAllowance(double requests) {
			this.coldBurstAllowance = requests;
			return this;
		}

		/**
		 * Sets the processor cores the instance may use; the instances with most of them
		 * pass load on between the others.
		 * @param count number of cores, a fraction on small machines
		 * @return this builder
		 */
		public Builder cores(double count) {
			this.cores = count;
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
					this.cores);
		}

		private static long requirePositive(String name, long value) {
			if (value <= 0) {
				throw new IllegalArgumentException(name + " must be above 0 but is " + value);
			}
			return value;
		}

	}

}
