package org.skylarkspring.gateway.internal;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;
import java.util.function.IntSupplier;
import java.util.function.LongSupplier;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.GaugeWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

import org.skylarkspring.gateway.admission.AdmissionDecision;
import org.skylarkspring.gateway.pressure.MemorySample;

/**
 * Counters and histograms of a gateway.
 */
final class GatewayMetrics {

	private static final double MILLIS_PER_SECOND = 1_000;

	private static final double[] LATENCY_BUCKETS_SECONDS = { 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 40 };

	private static final double[] PAUSE_BUCKETS_SECONDS = { 0.02, 0.05, 0.1, 0.18, 0.3, 0.5, 1, 2, 5 };

	private static final double[] RELEASE_BUCKETS_SECONDS = { 0.002, 0.005, 0.01, 0.02, 0.05, 0.12, 0.4, 1, 5 };

	private final PrometheusRegistry registry = new PrometheusRegistry();

	private final Counter requestsTotal = Counter.builder()
		.name("gateway_requests_total")
		.help("Requests by route and outcome")
		.labelNames("route", "outcome")
		.register(this.registry);

	private final Counter decisionsTotal = Counter.builder()
		.name("gateway_decisions_total")
		.help("Decisions by name")
		.labelNames("decision")
		.register(this.registry);

	private final Histogram latencySeconds = Histogram.builder()
		.name("gateway_answer_seconds")
		.help("Time to the whole answer, or to the first event of a stream")
		.classicOnly()
		.classicUpperBounds(LATENCY_BUCKETS_SECONDS)
		.labelNames("route")
		.register(this.registry);

	private final Histogram longestPauseSeconds = Histogram.builder()
		.name("gateway_longest_pause_seconds")
		.help("Longest pause between the events of a stream")
		.classicOnly()
		.classicUpperBounds(PAUSE_BUCKETS_SECONDS)
		.labelNames("route", "carried")
		.register(this.registry);

	private final Histogram generationReleaseSeconds = Histogram.builder()
		.name("gateway_generation_release_seconds")
		.help("Time until a server released a generation that another one continues, by outcome")
		.classicOnly()
		.classicUpperBounds(RELEASE_BUCKETS_SECONDS)
		.labelNames("outcome")
		.register(this.registry);

	private final Counter admissionsTotal = Counter.builder()
		.name("gateway_admissions_total")
		.help("Admission decisions about generations, by reason")
		.labelNames("route", "decision", "reason")
		.register(this.registry);

	private final Histogram admissionWaitSeconds = Histogram.builder()
		.name("gateway_admission_wait_seconds")
		.help("Time from the arrival of a generation to its admission or refusal")
		.classicOnly()
		.classicUpperBounds(LATENCY_BUCKETS_SECONDS)
		.labelNames("route", "decision")
		.register(this.registry);

	private final Gauge activeRequests = Gauge.builder()
		.name("gateway_requests_active")
		.help("Requests being served")
		.register(this.registry);

	private final Gauge usableServers = Gauge.builder()
		.name("gateway_servers_usable")
		.help("Backend servers that may get requests")
		.register(this.registry);

	private final Gauge limitedServers = Gauge.builder()
		.name("gateway_servers_limited")
		.help("Backend servers that name a limit of their request rate")
		.register(this.registry);

	private final Gauge quarantinedPromptParts = Gauge.builder()
		.name("gateway_quarantined_prompt_parts")
		.help("Parts of prompts that are not sent to servers because servers crashed on them")
		.register(this.registry);

	private final Gauge quarantinedRequests = Gauge.builder()
		.name("gateway_quarantined_requests")
		.help("Keys of requests that are not sent to servers because servers crashed on them")
		.register(this.registry);

	private final Gauge memoryLiveBytes = Gauge.builder()
		.name("gateway_memory_live_bytes")
		.help("Estimated bytes of the heap that a collection cannot free, 0 while little of the heap is in use")
		.register(this.registry);

	private final Gauge memoryLimitBytes = Gauge.builder()
		.name("gateway_memory_limit_bytes")
		.help("Limit of the bytes that a collection cannot free")
		.register(this.registry);

	private final Gauge shedding = Gauge.builder()
		.name("gateway_shedding")
		.help("1 if new requests are turned away for lack of memory")
		.register(this.registry);

	private final Gauge largestServerBodyBytes = Gauge.builder()
		.name("gateway_server_body_bytes_max")
		.help("Largest sum of request bodies that a backend server holds for all instances")
		.register(this.registry);

	private final Gauge rolloutStage = Gauge.builder()
		.name("gateway_rollout_stage")
		.help("Stage of a rollout: 0 testing, 1 promoting, 2 completed, 3 rolled back")
		.labelNames("service", "target")
		.register(this.registry);

	private final Gauge rolloutSent = Gauge.builder()
		.name("gateway_rollout_sent")
		.help("Permits that this instance has used for the new version, including sends that were withdrawn")
		.labelNames("service", "target")
		.register(this.registry);

	private final Gauge configurationAgeSeconds = Gauge.builder()
		.name("gateway_configuration_age_seconds")
		.help("Time since the store last confirmed the configuration, negative if it is unknown")
		.register(this.registry);

	void recordState(long eligibleServers, long configurationAgeMillis) {
		this.usableServers.set(eligibleServers);
		this.configurationAgeSeconds.set(configurationAgeMillis / MILLIS_PER_SECOND);
	}

	/**
	 * Shows the state of a rollout.
	 * @param service the service
	 * @param target the new version
	 * @param stage number of the stage
	 * @param sent requests that this instance has sent to the new version
	 */
	void setRollout(String service, String target, int stage, long sent) {
		this.rolloutStage.labelValues(service, target).set(stage);
		this.rolloutSent.labelValues(service, target).set(sent);
	}

	/** Removes the rollouts, which are then shown again one by one. */
	void clearRollouts() {
		this.rolloutStage.clear();
		this.rolloutSent.clear();
	}

	void setLimitedServers(long count) {
		this.limitedServers.set(count);
	}

	void recordOutcome(String route, String outcome) {
		this.requestsTotal.labelValues(route, outcome).inc();
	}

	void recordDecision(String decision) {
		recordDecisions(decision, 1);
	}

	void recordDecisions(String decision, int count) {
		this.decisionsTotal.labelValues(decision).inc(count);
	}

	void recordLatency(String route, long millis) {
		this.latencySeconds.labelValues(route).observe(millis / MILLIS_PER_SECOND);
	}

	void recordLongestPause(String route, boolean migrated, long millis) {
		this.longestPauseSeconds.labelValues(route, String.valueOf(migrated)).observe(millis / MILLIS_PER_SECOND);
	}

	void recordGenerationRelease(String outcome, long millis) {
		this.generationReleaseSeconds.labelValues(outcome).observe(millis / MILLIS_PER_SECOND);
	}

	void recordAdmission(String route, AdmissionDecision decision, long waitedMillis) {
		this.admissionsTotal.labelValues(route, decision.label(), decision.reason().label()).inc();
		if (!(decision instanceof AdmissionDecision.Wait)) {
			this.admissionWaitSeconds.labelValues(route, decision.label()).observe(waitedMillis / MILLIS_PER_SECOND);
		}
	}

	/**
	 * Shows how many requests wait for room on a server.
	 * @param count number of requests
	 */
	void observeWaitingRequests(IntSupplier count) {
		GaugeWithCallback.builder()
			.name("gateway_requests_waiting")
			.help("Generations that wait at this instance for room on a server")
			.callback((callback) -> callback.call(count.getAsInt()))
			.register(this.registry);
	}

	/**
	 * Shows how many bytes of responses are held in memory.
	 * @param heldBytes number of bytes
	 */
	void observeHeldResponseBytes(LongSupplier heldBytes) {
		GaugeWithCallback.builder()
			.name("gateway_response_held_bytes")
			.help("Bytes of responses that wait in memory for their end or for their callers")
			.callback((callback) -> callback.call(heldBytes.getAsLong()))
			.register(this.registry);
	}

	/**
	 * Shows the memory of the instance.
	 * @param sample latest sample
	 * @param shedding whether new work is turned away
	 */
	void recordMemory(MemorySample sample, boolean shedding) {
		this.memoryLiveBytes.set(sample.liveBytes());
		this.memoryLimitBytes.set(sample.limitBytes());
		this.shedding.set(shedding ? 1 : 0);
	}

	void setLargestServerBodyBytes(long bytes) {
		this.largestServerBodyBytes.set(bytes);
	}

	void setActiveRequests(int count) {
		this.activeRequests.set(count);
	}

	void setQuarantinedPromptParts(int count) {
		this.quarantinedPromptParts.set(count);
	}

	void setQuarantinedRequests(int count) {
		this.quarantinedRequests.set(count);
	}

	byte[] toPrometheusText() {
		ByteArrayOutputStream out = new ByteArrayOutputStream();
		try {
			PrometheusTextFormatWriter.create().write(out, this.registry.scrape());
		}
		catch (IOException ex) {
			throw new UncheckedIOException(ex);
		}
		return out.toByteArray();
	}

}
