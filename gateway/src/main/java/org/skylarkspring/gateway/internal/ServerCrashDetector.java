package org.skylarkspring.gateway.internal;

import java.util.ArrayList;
import java.util.Collections;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiConsumer;
import java.util.function.Consumer;

import org.skylarkspring.gateway.model.ServerIncarnation;
import org.skylarkspring.gateway.model.ServerRegistration;

/**
 * Tells a server that has crashed from one whose connections were lost: a crashed one
 * refuses connections from then on for a while, or its registration shows a later start.
 * A server that accepts a connection after a loss has not crashed. Reports which requests
 * a server had when it crashed.
 */
final class ServerCrashDetector {

	/** Time for which requests are remembered that were lost or given up on a server. */
	static final long RETENTION_MILLIS = 5_000;

	/** Refusals in a row, because a server that lives may refuse a connection too. */
	static final int REFUSALS_OF_CRASHED_SERVER = 3;

	/** Time from a loss to the first probe. */
	static final long FIRST_PROBE_DELAY_MILLIS = 20;

	/** Longest time until the connection of a probe is established. */
	static final long PROBE_TIMEOUT_MILLIS = 250;

	/** Time between two probes that are refused. */
	static final long PROBE_INTERVAL_MILLIS = 50;

	/** Time after which losses are reported that follow the report of a crash. */
	static final long LATE_REPORT_DELAY_MILLIS = 100;

	private static final long MAXIMUM_PROBE_INTERVAL_MILLIS = 1_600;

	private static final int MAXIMUM_REQUESTS_PER_SERVER = 400;

	private static final int MAXIMUM_REPLACED_SERVERS = 500;

	private final Scheduler scheduler;

	private final BiConsumer<String, Consumer<ConnectionProbe.Result>> probe;

	private final BiConsumer<ServerIncarnation, List<String>> crashListener;

	private final Map<ServerIncarnation, Suspicion> suspicions = new HashMap<>();

	/** Servers that have started again since, oldest first. */
	private final Set<ServerIncarnation> replaced = new LinkedHashSet<>();

	/**
	 * Creates a detector.
	 * @param scheduler clock and timers
	 * @param probe connects to an address, within {@link #PROBE_TIMEOUT_MILLIS}
	 * @param crashListener receives each crashed server and the keys of the requests that
	 * it had, the latest first; called again for requests whose loss is noticed later
	 */
	ServerCrashDetector(Scheduler scheduler, BiConsumer<String, Consumer<ConnectionProbe.Result>> probe,
			BiConsumer<ServerIncarnation, List<String>> crashListener) {
		this.scheduler = scheduler;
		this.probe = probe;
		this.crashListener = crashListener;
	}

	/**
	 * Records that a server ended the connection of a request.
	 * @param server the server
	 * @param keys keys of the request
	 */
	void recordLoss(ServerRegistration server, List<String> keys) {
		Suspicion suspicion = add(server, keys, true);
		if (suspicion.crashed) {
			this.scheduler.schedule(LATE_REPORT_DELAY_MILLIS, suspicion::report);
		}
		else if (this.replaced.contains(server.incarnation())) {
			suspicion.confirm();
		}
		else {
			suspicion.startProbing();
		}
	}

	/**
	 * Records that this instance gave up a request that a server may still run.
	 * @param server the server
	 * @param keys keys of the request
	 */
	void recordAbandoned(ServerRegistration server, List<String> keys) {
		add(server, keys, false);
	}

	private Suspicion add(ServerRegistration server, List<String> keys, boolean lost) {
		long now = this.scheduler.nowMillis();
		Suspicion suspicion = this.suspicions.computeIfAbsent(server.incarnation(),
				(incarnation) -> new Suspicion(server));
		keys.forEach((key) -> {
			suspicion.requests.remove(key);
			suspicion.requests.put(key, new EndedRequest(now, lost));
		});
		suspicion.lastMillis = now;
		return suspicion;
	}

	/**
	 * Handles that the registration of a server shows a later start.
	 * @param former the server before
	 */
	void onServerReplaced(ServerIncarnation former) {
		this.replaced.add(former);
		if (this.replaced.size() > MAXIMUM_REPLACED_SERVERS) {
			this.replaced.remove(this.replaced.iterator().next());
		}
		Optional.ofNullable(this.suspicions.get(former)).ifPresent(Suspicion::confirm);
	}

	/**
	 * Handles that the registration of a server has ended without notice. The server may
	 * still serve, and may be unable to reach the store.
	 * @param incarnation the server
	 */
	void onServerRemoved(ServerIncarnation incarnation) {
		Optional.ofNullable(this.suspicions.get(incarnation)).ifPresent(Suspicion::startProbing);
	}

	/**
	 * Returns on how many servers a request was lost that may have crashed, without those
	 * whose crash was reported.
	 * @param key key of the request
	 * @return number of servers
	 */
	long unconfirmedLosses(String key) {
		return this.suspicions.values()
			.stream()
			.filter((suspicion) -> !suspicion.crashed && suspicion.hasLost(key))
			.count();
	}

	/** Forgets the requests that were lost long ago. */
	void tick() {
		long oldestMillis = this.scheduler.nowMillis() - RETENTION_MILLIS;
		this.suspicions.values().removeIf((suspicion) -> suspicion.lastMillis < oldestMillis);
	}

	/**
	 * Requests that a server had, and what is known of its end.
	 */
	private final class Suspicion {

		private final ServerRegistration server;

		/** Ended requests by their keys, latest last. */
		private final Map<String, EndedRequest> requests = new LinkedHashMap<>() {

			@Override
			protected boolean removeEldestEntry(Map.Entry<String, EndedRequest> eldest) {
				return size() > MAXIMUM_REQUESTS_PER_SERVER;
			}

		};

		private long lastMillis;

		private boolean probing;

		private int refusals;

		private long probeIntervalMillis = PROBE_INTERVAL_MILLIS;

		private boolean crashed;

		private Suspicion(ServerRegistration server) {
			this.server = server;
		}

		private boolean hasLost(String key) {
			EndedRequest request = this.requests.get(key);
			return request != null && request.lost;
		}

		private void startProbing() {
			if (!this.probing && !this.crashed) {
				this.probing = true;
				this.refusals = 0;
				this.probeIntervalMillis = PROBE_INTERVAL_MILLIS;
				scheduleProbe(FIRST_PROBE_DELAY_MILLIS);
			}
		}

		private void scheduleProbe(long delayMillis) {
			ServerCrashDetector.this.scheduler.schedule(delayMillis,
					() -> ServerCrashDetector.this.probe.accept(this.server.address(), this::onProbed));
		}

		private void onProbed(ConnectionProbe.Result result) {
			if (!isCurrent()) {
				this.probing = false;
				return;
			}
			switch (result) {
				case LISTENING -> endSuspicion();
				case REFUSED -> onRefused();
				default -> {
					this.refusals = 0;
					this.probeIntervalMillis = Math.min(2 * this.probeIntervalMillis, MAXIMUM_PROBE_INTERVAL_MILLIS);
					scheduleProbe(this.probeIntervalMillis);
				}
			}
		}

		private void endSuspicion() {
			this.probing = false;
			this.requests.clear();
		}

		private void onRefused() {
			this.refusals++;
			if (this.refusals >= REFUSALS_OF_CRASHED_SERVER) {
				confirm();
			}
			else {
				scheduleProbe(PROBE_INTERVAL_MILLIS);
			}
		}

		private boolean isCurrent() {
			return !this.crashed && ServerCrashDetector.this.suspicions.get(this.server.incarnation()) == this;
		}

		private void confirm() {
			this.probing = false;
			if (!this.crashed) {
				this.crashed = true;
				report();
			}
		}

		private void report() {
			long oldestMillis = ServerCrashDetector.this.scheduler.nowMillis() - RETENTION_MILLIS;
			this.requests.values().removeIf((request) -> request.endedMillis < oldestMillis);
			List<String> keys = new ArrayList<>(this.requests.keySet());
			Collections.reverse(keys);
			this.requests.clear();
			if (!keys.isEmpty()) {
				ServerCrashDetector.this.crashListener.accept(this.server.incarnation(), keys);
			}
		}

	}

	/**
	 * A request that has ended on a server without a response.
	 *
	 * @param endedMillis time in milliseconds
	 * @param lost whether the server ended its connection
	 */
	private record EndedRequest(long endedMillis, boolean lost) {
	}

}
