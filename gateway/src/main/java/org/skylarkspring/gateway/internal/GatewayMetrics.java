package org.skylarkspring.gateway.internal;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.UncheckedIOException;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

/**
 * Counters and histograms of a gateway.
 */
final class GatewayMetrics {

	private static final double MILLIS_PER_SECOND = 1_000;

	private static final double[] LATENCY_SECONDS = { 0.02, 0.05, 0.1, 0.2, 0.5, 1, 2, 5, 10, 40 };

	private static final double[] PAUSE_SECONDS = { 0.02, 0.05, 0.1, 0.18, 0.3, 0.5, 1, 2, 5 };

	private final PrometheusRegistry registry = new PrometheusRegistry();

	private final Counter outcomes = Counter.builder()
		.name("gateway_requests_total")
		.help("Requests by route and outcome")
		.labelNames("route", "outcome")
		.register(this.registry);

	private final Counter decisions = Counter.builder()
		.name("gateway_decisions_total")
		.help("Decisions by name")
		.labelNames("decision")
		.register(this.registry);

	private final Histogram latency = Histogram.builder()
		.name("gateway_answer_seconds")
		.help("Time to the whole answer, or to the first event of a stream")
		.classicOnly()
		.classicUpperBounds(LATENCY_SECONDS)
		.labelNames("route")
		.register(this.registry);

	private final Histogram pauses = Histogram.builder()
		.name("gateway_longest_pause_seconds")
		.help("Longest pause between the events of a stream")
		.classicOnly()
		.classicUpperBounds(PAUSE_SECONDS)
		.labelNames("route", "carried")
		.register(this.registry);

	private final Gauge active = Gauge.builder()
		.name("gateway_requests_active")
		.help("Requests being served")
		.register(this.registry);

	private final Gauge serversUsable = Gauge.builder()
		.name("gateway_servers_usable")
		.help("Backend servers that may get requests")
		.register(this.registry);

	private final Gauge configurationAge = Gauge.builder()
		.name("gateway_configuration_age_seconds")
		.help("Time since the store last confirmed the configuration, negative if it is unknown")
		.register(this.registry);

	void state(long usable, long configurationAgeMillis) {
		this.serversUsable.set(usable);
		this.configurationAge.set(configurationAgeMillis / MILLIS_PER_SECOND);
	}

	void outcome(String route, String outcome) {
		this.outcomes.labelValues(route, outcome).inc();
	}

	void decision(String decision) {
		decisions(decision, 1);
	}

	void decisions(String decision, int count) {
		this.decisions.labelValues(decision).inc(count);
	}

	void latency(String route, long millis) {
		this.latency.labelValues(route).observe(millis / MILLIS_PER_SECOND);
	}

	void longestPause(String route, boolean carried, long millis) {
		this.pauses.labelValues(route, String.valueOf(carried)).observe(millis / MILLIS_PER_SECOND);
	}

	void active(int count) {
		this.active.set(count);
	}

	byte[] text() {
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
