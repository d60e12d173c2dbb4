package org.skylarkspring.entry.internal;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.TimeUnit;

import org.skylarkspring.core.DecisionCore;
import org.skylarkspring.core.event.Event;
import org.skylarkspring.core.model.InstanceRecord;
import org.skylarkspring.core.model.LoadReport;
import org.skylarkspring.entry.api.EngineMessages;
import org.skylarkspring.entry.http.AsyncHttpClient;
import org.skylarkspring.entry.http.HttpClientRequest;
import org.skylarkspring.entry.http.Json;

/**
 * Polls the load of the backend servers that the core selects. The poll interval follows
 * from the polls' share of the control traffic budget, within a minimum and a maximum.
 */
final class LoadPoller {

	private static final long SCHEDULING_INTERVAL_MILLIS = 100;

	private static final long POLL_TIMEOUT_MILLIS = 2_000;

	private static final long MINIMUM_INTERVAL_MILLIS = 250;

	private static final long MAXIMUM_INTERVAL_MILLIS = 5_000;

	/** Share of the control traffic budget of 2 KB/s that load polls may use. */
	private static final double POLL_BUDGET_BYTES_PER_SECOND = 1_200;

	private static final double INITIAL_BYTES_PER_POLL = 300;

	/**
	 * Size of the request and of the response headers, in addition to the response body.
	 */
	private static final int HTTP_OVERHEAD_BYTES = 200;

	private static final double MOVING_AVERAGE_WEIGHT = 0.05;

	private static final int STATUS_OK = 200;

	private final CoreLoop coreLoop;

	private final AsyncHttpClient httpClient;

	private final EntryMetrics metrics;

	private final ScheduledExecutorService scheduler;

	private final Map<String, Long> nextPollMillisByServer = new HashMap<>();

	private final Map<String, Long> lastCacheSequenceByServer = new ConcurrentHashMap<>();

	private volatile double averageBytesPerPoll = INITIAL_BYTES_PER_POLL;

	LoadPoller(CoreLoop coreLoop, AsyncHttpClient httpClient, EntryMetrics metrics,
			ScheduledExecutorService scheduler) {
		this.coreLoop = coreLoop;
		this.httpClient = httpClient;
		this.metrics = metrics;
		this.scheduler = scheduler;
	}

	void start() {
		this.scheduler.scheduleAtFixedRate(
				() -> this.coreLoop.query(DecisionCore::polledServers).thenAccept(this::poll),
				SCHEDULING_INTERVAL_MILLIS, SCHEDULING_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
	}

	private synchronized void poll(List<InstanceRecord> servers) {
		long now = CoreLoop.monotonicMillis();
		long intervalMillis = pollIntervalMillis(servers.size());
		this.nextPollMillisByServer.keySet().retainAll(servers.stream().map(InstanceRecord::instanceId).toList());
		servers.stream()
			.filter((server) -> this.nextPollMillisByServer.getOrDefault(server.instanceId(), 0L) <= now)
			.forEach((server) -> {
				this.nextPollMillisByServer.put(server.instanceId(), now + intervalMillis);
				poll(server);
			});
	}

	private long pollIntervalMillis(int servers) {
		double budgetedIntervalMillis = servers * this.averageBytesPerPoll / POLL_BUDGET_BYTES_PER_SECOND * 1_000;
		return (long) Math.max(MINIMUM_INTERVAL_MILLIS, Math.min(MAXIMUM_INTERVAL_MILLIS, budgetedIntervalMillis));
	}

	private void poll(InstanceRecord server) {
		long lastSequence = this.lastCacheSequenceByServer.getOrDefault(server.instanceId(), 0L);
		HttpClientRequest request = HttpClientRequest.get(server.address(), "/load?cacheAfter=" + lastSequence);
		this.httpClient.send(request, POLL_TIMEOUT_MILLIS).thenAccept((response) -> {
			int bytes = response.body().length() + HTTP_OVERHEAD_BYTES;
			this.metrics.recordControlMessage("load-poll", bytes);
			this.averageBytesPerPoll += MOVING_AVERAGE_WEIGHT * (bytes - this.averageBytesPerPoll);
			if (response.status() == STATUS_OK) {
				Json.read(response.body(), EngineMessages.LoadResponse.class)
					.ifPresent((load) -> postLoadEvents(server, load));
			}
		});
	}

	private void postLoadEvents(InstanceRecord server, EngineMessages.LoadResponse load) {
		this.coreLoop.post(new Event.LoadReported(
				new LoadReport(server.instanceId(), load.incarnation(), load.reportedAtMillis(), load.running(),
						load.waiting(), load.usedBlocks(), load.totalBlocks(), load.blockTokens(), load.stepMillis(),
						load.preemptions(), Optional.ofNullable(load.modelVersion()).orElse(""), load.loading())));
		if (load.cacheEvents() == null) {
			return;
		}
		load.cacheEvents().forEach((change) -> {
			this.lastCacheSequenceByServer.merge(server.instanceId(), change.sequence(), Math::max);
			this.coreLoop.post(new Event.CacheChanged(server.instanceId(), change.sequence(), change.prefixHash(),
					change.cached()));
		});
	}

}
