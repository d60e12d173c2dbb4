package org.skylarkspring.entry.internal;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.nio.charset.StandardCharsets;
import java.util.Map;
import java.util.Set;
import java.util.concurrent.ConcurrentHashMap;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.CounterWithCallback;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.expositionformats.PrometheusTextFormatWriter;
import io.prometheus.metrics.model.registry.PrometheusRegistry;

import org.skylarkspring.core.config.WorkspaceConfiguration;

/**
 * Metrics of one entry instance. Histograms are labelled by workspace and work class. The
 * number of workspaces with a label of their own is limited; all others share the label
 * {@code other}.
 */
final class EntryMetrics {

	private static final int MAXIMUM_WORKSPACE_LABELS = 200;

	private static final String OVERFLOW_WORKSPACE_LABEL = "other";

	private static final double NANOS_PER_SECOND = 1e9;

	private final PrometheusRegistry registry = new PrometheusRegistry();

	private final Set<String> workspaceLabels = ConcurrentHashMap.newKeySet();

	private final Histogram timeToFirstToken = Histogram.builder()
		.name("skylarkspring_first_token_seconds")
		.help("Time from arrival to the first token.")
		.labelNames("workspace", "class")
		.classicUpperBounds(0.05, 0.1, 0.25, 0.5, 1, 1.8, 3, 6, 12, 30)
		.classicOnly()
		.register(this.registry);

	private final Histogram interTokenLatency = Histogram.builder()
		.name("skylarkspring_between_tokens_seconds")
		.help("Time between two tokens of an answer.")
		.labelNames("workspace", "class")
		.classicUpperBounds(0.01, 0.02, 0.033, 0.05, 0.066, 0.1, 0.2, 0.5, 1, 5)
		.classicOnly()
		.register(this.registry);

	private final Counter finishedRequests = Counter.builder()
		.name("skylarkspring_requests_finished_total")
		.help("Requests with a final answer, by result.")
		.labelNames("workspace", "result")
		.register(this.registry);

	private final Counter droppedTokens = Counter.builder()
		.name("skylarkspring_tokens_dropped_total")
		.help("Tokens that were not delivered, by reason.")
		.labelNames("reason")
		.register(this.registry);

	private final Counter controlBytes = Counter.builder()
		.name("skylarkspring_control_bytes_total")
		.help("Bytes of control messages sent and received, by kind of message.")
		.labelNames("kind")
		.register(this.registry);

	private final Counter controlMessages = Counter.builder()
		.name("skylarkspring_control_messages_total")
		.help("Control messages sent, by kind of message.")
		.labelNames("kind")
		.register(this.registry);

	private volatile Map<String, Long> coreCounters = Map.of();

	EntryMetrics() {
		CounterWithCallback.builder()
			.name("skylarkspring_core_events_total")
			.help("Events in the decision core.")
			.labelNames("event")
			.callback((callback) -> this.coreCounters.forEach((name, count) -> callback.call(count, name)))
			.register(this.registry);
	}

	void setCoreCounters(Map<String, Long> counters) {
		this.coreCounters = counters;
	}

	void recordTimeToFirstToken(WorkspaceConfiguration workspace, long nanos) {
		this.timeToFirstToken.labelValues(workspaceLabel(workspace.name()), workspace.workClass().name())
			.observe(nanos / NANOS_PER_SECOND);
	}

	void recordInterTokenLatency(WorkspaceConfiguration workspace, long nanos) {
		this.interTokenLatency.labelValues(workspaceLabel(workspace.name()), workspace.workClass().name())
			.observe(nanos / NANOS_PER_SECOND);
	}

	void recordFinishedRequest(String workspace, String result) {
		this.finishedRequests.labelValues(workspaceLabel(workspace), result).inc();
	}

	void recordDroppedToken(String reason) {
		this.droppedTokens.labelValues(reason).inc();
	}

	void recordControlMessage(String kind, int bytes) {
		this.controlMessages.labelValues(kind).inc();
		this.controlBytes.labelValues(kind).inc(bytes);
	}

	String toPrometheusText() {
		ByteArrayOutputStream text = new ByteArrayOutputStream();
		try {
			PrometheusTextFormatWriter.create().write(text, this.registry.scrape());
		}
		catch (IOException ex) {
			throw new IllegalStateException("failed to write metrics in Prometheus text format", ex);
		}
		return text.toString(StandardCharsets.UTF_8);
	}

	private String workspaceLabel(String workspace) {
		if (this.workspaceLabels.contains(workspace)) {
			return workspace;
		}
		if (this.workspaceLabels.size() >= MAXIMUM_WORKSPACE_LABELS) {
			return OVERFLOW_WORKSPACE_LABEL;
		}
		this.workspaceLabels.add(workspace);
		return workspace;
	}

}
