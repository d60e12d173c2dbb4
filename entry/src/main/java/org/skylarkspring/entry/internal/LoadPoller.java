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
import org.skylarkspring.entry.http.HttpCall;
import org.skylarkspring.entry.http.HttpCaller;
import org.skylarkspring.entry.http.Json;

/**
 * Polls the load of the selected backend servers, as often as the byte budget for control
 * allows.
 */
final class LoadPoller {

	private static final long TICK_MILLIS = 100;

	private static final long TIMEOUT_MILLIS = 2_000;

	private static final long MINIMUM_INTERVAL_MILLIS = 250;

	private static final long MAXIMUM_INTERVAL_MILLIS = 5_000;

	/** Part of the control budget of 2 KB/s that polls may use. */
	private static final double BUDGET_BYTES_PER_SECOND = 1_200;

	private static final double INITIAL_BYTES_PER_POLL = 300;

	/** Bytes of the request and of the headers of both directions. */
	private static final int OVERHEAD_BYTES = 200;

	private static final double AVERAGE_WEIGHT = 0.05;

	private static final int STATUS_OK = 200;

	private final CoreLoop loop;

	private final HttpCaller caller;

	private final EntryMetrics metrics;

	private final ScheduledExecutorService scheduler;

	private final Map<String, Long> nextPollMillis = new HashMap<>();

	private final Map<String, Long> cacheSequences = new ConcurrentHashMap<>();

	private volatile double bytesPerPoll = INITIAL_BYTES_PER_POLL;

	LoadPoller(CoreLoop loop, HttpCaller caller, EntryMetrics metrics, ScheduledExecutorService scheduler) {
		this.loop = loop;
		this.caller = caller;
		this.metrics = metrics;
		this.scheduler = scheduler;
	}

	void start() {
		this.scheduler.scheduleAtFixedRate(() -> this.loop.query(DecisionCore::polledServers).thenAccept(this::poll),
				TICK_MILLIS, TICK_MILLIS, TimeUnit.MILLISECONDS);
	}

	private synchronized void poll(List<InstanceRecord> servers) {
		long now = CoreLoop.nowMillis();
		long intervalMillis = intervalMillis(servers.size());
		this.nextPollMillis.keySet().retainAll(servers.stream().map(InstanceRecord::instanceId).toList());
		servers.stream()
			.filter((server) -> this.nextPollMillis.getOrDefault(server.instanceId(), 0L) <= now)
			.forEach((server) -> {
				this.nextPollMillis.put(server.instanceId(), now + intervalMillis);
				poll(server);
			});
	}

	private long intervalMillis(int servers) {
		double affordable = servers * this.bytesPerPoll / BUDGET_BYTES_PER_SECOND * 1_000;
		return (long) Math.max(MINIMUM_INTERVAL_MILLIS, Math.min(MAXIMUM_INTERVAL_MILLIS, affordable));
	}

	private void poll(InstanceRecord server) {
		long after = this.cacheSequences.getOrDefault(server.instanceId(), 0L);
		HttpCall call = HttpCall.get(server.address(), "/load?cacheAfter=" + after);
		this.caller.call(call, TIMEOUT_MILLIS).thenAccept((reply) -> {
			int bytes = reply.body().length() + OVERHEAD_BYTES;
			this.metrics.controlMessage("load-poll", bytes);
			this.bytesPerPoll += AVERAGE_WEIGHT * (bytes - this.bytesPerPoll);
			if (reply.status() == STATUS_OK) {
				Json.read(reply.body(), EngineMessages.Load.class).ifPresent((load) -> take(server, load));
			}
		});
	}

	private void take(InstanceRecord server, EngineMessages.Load load) {
		this.loop.post(new Event.LoadReported(
				new LoadReport(server.instanceId(), load.incarnation(), load.reportedAtMillis(), load.running(),
						load.waiting(), load.usedBlocks(), load.totalBlocks(), load.blockTokens(), load.stepMillis(),
						load.preemptions(), Optional.ofNullable(load.modelVersion()).orElse(""), load.loading())));
		if (load.cacheEvents() == null) {
			return;
		}
		load.cacheEvents().forEach((change) -> {
			this.cacheSequences.merge(server.instanceId(), change.sequence(), Math::max);
			this.loop.post(new Event.CacheChanged(server.instanceId(), change.sequence(), change.prefixHash(),
					change.cached()));
		});
	}

}
