package org.skylarkspring.gateway.internal;

import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

import com.google.gson.Gson;
import com.google.gson.JsonSyntaxException;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;

import org.skylarkspring.gateway.http.HttpTextRequest;
import org.skylarkspring.gateway.http.HttpTextResult;

/**
 * Exchanges with peers what was placed on each server. Relays tell each other; any other
 * instance tells one relay, which answers with what all others have placed.
 */
final class PeerLoadSynchronizer {

	static final String PATH = "/peer-load";

	/** Told at least so often, so that silence means that the peer is away. */
	private static final long REPORT_INTERVAL_MILLIS = 1_000;

	/** Placements within this time are told together, at the least. */
	private static final long MINIMUM_BATCH_WINDOW_MILLIS = 20;

	/**
	 * Bounds what a relay sends to 250 messages a second, whatever the number of relays.
	 */
	private static final long BATCH_WINDOW_MILLIS_PER_RELAY = 4;

	private static final long REPORT_TIMEOUT_MILLIS = 500;

	/** Many times a round trip between data centres; a placement waits no longer. */
	private static final long REFRESH_TIMEOUT_MILLIS = 40;

	private static final int OK = 200;

	private static final int BAD_REQUEST = 400;

	private static final int NO_CONTENT = 204;

	private final Gson gson = new Gson();

	private final GatewayContext context;

	private final PeerTable peers;

	private final ServerTable servers;

	private boolean reportScheduled;

	private Scheduler.Timer nextReportTimer;

	PeerLoadSynchronizer(GatewayContext context, PeerTable peers, ServerTable servers) {
		this.context = context;
		this.peers = peers;
		this.servers = servers;
	}

	void start() {
		sendReport();
	}

	/** Tells the peers soon that load was placed. */
	void scheduleReport() {
		if (!this.reportScheduled) {
			this.reportScheduled = true;
			this.context.scheduler.schedule(batchWindowMillis(), this::sendReport);
		}
	}

	private long batchWindowMillis() {
		return this.peers.isRelay()
				? Math.max(MINIMUM_BATCH_WINDOW_MILLIS, BATCH_WINDOW_MILLIS_PER_RELAY * this.peers.otherRelays().size())
				: MINIMUM_BATCH_WINDOW_MILLIS;
	}

	/**
	 * Learns what others have placed, then decides. A relay is told of each placement and
	 * decides at once.
	 * @param decision the decision
	 */
	void refreshLoadsThen(Runnable decision) {
		if (this.peers.isRelay()) {
			decision.run();
			return;
		}
		boolean[] decided = { false };
		Runnable once = () -> {
			if (!decided[0]) {
				decided[0] = true;
				decision.run();
			}
		};
		this.context.scheduler.schedule(REFRESH_TIMEOUT_MILLIS, once);
		reportToAssignedRelay(once);
	}

	void handleRequest(HttpServerExchange exchange) {
		exchange.getRequestReceiver().receiveFullString((received, text) -> {
			Optional<PeerLoadReport> load = parse(text);
			if (load.isEmpty()) {
				received.setStatusCode(BAD_REQUEST);
				received.endExchange();
				return;
			}
			applyReport(load.get());
			if (load.get().relay()) {
				received.setStatusCode(NO_CONTENT);
				received.endExchange();
				return;
			}
			received.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
			received.getResponseSender().send(createResponseFor(load.get().instanceId()));
		});
	}

	private Optional<PeerLoadReport> parse(String text) {
		try {
			return Optional.ofNullable(this.gson.fromJson(text, PeerLoadReport.class))
				.filter(PeerLoadReport::hasRequiredFields);
		}
		catch (JsonSyntaxException ex) {
			this.context.log.logStateChange("message of a peer can't be read", Map.of("reason", String.valueOf(ex)));
			return Optional.empty();
		}
	}

	/**
	 * Takes what a peer has told.
	 * @param load the message
	 */
	void applyReport(PeerLoadReport load) {
		long now = this.context.scheduler.nowMillis();
		load.draining().forEach(this.servers::markTerminating);
		boolean changed = this.peers.recordReport(load, now);
		this.peers.applyLoadsTo(this.servers, now);
		if (changed && !load.relay()) {
			scheduleReport();
		}
	}

	private String createResponseFor(String instanceId) {
		Stream<PeerLoadReport.ServerLoad> others = this.peers.loadsExcluding(instanceId,
				this.context.scheduler.nowMillis());
		return this.gson.toJson(createReport(true, Stream.concat(ownLoads(), others)));
	}

	private void sendReport() {
		this.reportScheduled = false;
		if (this.peers.isRelay()) {
			reportToRelays();
		}
		else {
			reportToAssignedRelay(() -> {
			});
		}
		reschedulePeriodicReport();
	}

	private void reschedulePeriodicReport() {
		if (this.nextReportTimer != null) {
			this.nextReportTimer.cancel();
		}
		this.nextReportTimer = this.context.scheduler.schedule(REPORT_INTERVAL_MILLIS, this::sendReport);
	}

	/**
	 * Returns what this instance has placed, to be told with another message.
	 * @return the message
	 */
	PeerLoadReport createOwnReport() {
		reschedulePeriodicReport();
		return createReport(false, ownLoads());
	}

	private void reportToRelays() {
		Stream<PeerLoadReport.ServerLoad> passedOn = this.peers.loadsToForward(this.context.scheduler.nowMillis());
		HttpTextRequest request = createRequest(createReport(true, Stream.concat(ownLoads(), passedOn)));
		this.peers.otherRelays()
			.forEach((peer) -> this.context.client.sendAsync(peer.address, request, REPORT_TIMEOUT_MILLIS,
					(result) -> this.context.metrics.recordDecision("peer told")));
	}

	private void reportToAssignedRelay(Runnable then) {
		Optional<PeerTable.PeerEntry> relay = this.peers.assignedRelay(this.context.scheduler.nowMillis());
		if (relay.isEmpty()) {
			then.run();
			return;
		}
		this.context.client.sendAsync(relay.get().address, createRequest(createReport(false, ownLoads())),
				REPORT_TIMEOUT_MILLIS, (result) -> {
					handleRelayResponse(relay.get(), result);
					then.run();
				});
	}

	private void handleRelayResponse(PeerTable.PeerEntry relay, HttpTextResult result) {
		this.context.metrics.recordDecision("relay told");
		long now = this.context.scheduler.nowMillis();
		Optional<PeerLoadReport> load = (result instanceof HttpTextResult.Answered answer && answer.status() == OK)
				? parse(answer.body()) : Optional.empty();
		if (load.isEmpty()) {
			this.peers.markUnresponsive(relay, now);
			this.context.log.logStateChange("relay silent",
					Map.of("relay", relay.member.instanceId(), "result", String.valueOf(result)));
			return;
		}
		load.get().draining().forEach(this.servers::markTerminating);
		this.peers.recordRelayReport(load.get(), now);
		this.peers.applyLoadsTo(this.servers, now);
	}

	private Stream<PeerLoadReport.ServerLoad> ownLoads() {
		return this.servers.all()
			.stream()
			.filter((entry) -> !entry.attempts.isEmpty() || entry.reservedTokens > 0)
			.map((entry) -> new PeerLoadReport.ServerLoad(entry.registration.id(), entry.attempts.size(),
					entry.reservedTokens, entry.pendingPrefillTokens));
	}

	private PeerLoadReport createReport(boolean relay, Stream<PeerLoadReport.ServerLoad> loads) {
		return new PeerLoadReport(this.context.settings.instanceId(), relay, PeerTable.sumByServer(loads),
				this.servers.drainingRuns());
	}

	private HttpTextRequest createRequest(PeerLoadReport message) {
		return new HttpTextRequest(Methods.POST, PATH, Optional.of(this.gson.toJson(message)));
	}

}
