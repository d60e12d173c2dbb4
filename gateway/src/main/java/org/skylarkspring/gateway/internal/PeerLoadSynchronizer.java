package org.skylarkspring.gateway.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;

import org.skylarkspring.gateway.http.HttpTextRequest;
import org.skylarkspring.gateway.http.HttpTextResult;
import org.skylarkspring.gateway.peer.DigestParticipant;
import org.skylarkspring.gateway.peer.PeerDigest;

/**
 * Exchanges with peers the load that instances have placed on each server. Relays report
 * to each other. Every other instance reports to one relay, which responds with the load
 * placed by all other instances.
 */
final class PeerLoadSynchronizer {

	static final String PATH = "/peer-load";

	/**
	 * Maximum interval between reports, so that a peer that stops reporting can be
	 * considered unavailable.
	 */
	private static final long REPORT_INTERVAL_MILLIS = 1_000;

	/** Lower bound of the window within which placements are reported together. */
	private static final long MINIMUM_BATCH_WINDOW_MILLIS = 20;

	/**
	 * Limits a relay to 250 outgoing messages per second, regardless of the number of
	 * relays.
	 */
	private static final long BATCH_WINDOW_MILLIS_PER_RELAY = 4;

	private static final long REPORT_TIMEOUT_MILLIS = 500;

	/**
	 * Longest time for which a placement waits for the relay, many times a round trip
	 * between data centres.
	 */
	private static final long REFRESH_TIMEOUT_MILLIS = 40;

	private static final int OK = 200;

	private static final int BAD_REQUEST = 400;

	private static final int NO_CONTENT = 204;

	private final Gson gson = new Gson();

	private final GatewayContext context;

	private final PeerTable peers;

	private final ServerTable servers;

	private final PeerRequestBodies bodies;

	private final ServerRateLimits rateLimits;

	private final List<DigestParticipant> participants = new ArrayList<>();

	private boolean reportScheduled;

	private Scheduler.Timer nextReportTimer;

	PeerLoadSynchronizer(GatewayContext context, PeerTable peers, ServerTable servers, ServerRateLimits rateLimits) {
		this.context = context;
		this.peers = peers;
		this.servers = servers;
		this.rateLimits = rateLimits;
		this.bodies = new PeerRequestBodies(context.scheduler, context.log);
	}

	/**
	 * Adds a part that exchanges sums with the other instances.
	 * @param participant the part
	 */
	void addParticipant(DigestParticipant participant) {
		this.participants.add(participant);
	}

	void start() {
		sendReport();
	}

	/** Schedules a report to the peers at the end of the batch window. */
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
	 * Refreshes the loads placed by peers and then runs the action, at the latest after
	 * the refresh timeout. On a relay the action runs immediately, because relays receive
	 * reports of all placements.
	 * @param action action that uses the refreshed loads, run once
	 */
	void refreshLoadsThen(Runnable action) {
		if (this.peers.isRelay()) {
			action.run();
			return;
		}
		boolean[] started = { false };
		Runnable actionOnce = () -> {
			if (!started[0]) {
				started[0] = true;
				action.run();
			}
		};
		this.context.scheduler.schedule(REFRESH_TIMEOUT_MILLIS, actionOnce);
		reportToAssignedRelay(actionOnce);
	}

	void handleRequest(HttpServerExchange exchange) {
		this.bodies.read(exchange, (json) -> respond(exchange, json));
	}

	private void respond(HttpServerExchange exchange, String json) {
		Optional<PeerLoadReport> report = parse(json);
		if (report.isEmpty()) {
			exchange.setStatusCode(BAD_REQUEST);
			exchange.endExchange();
			return;
		}
		applyReport(report.get());
		if (report.get().relay()) {
			exchange.setStatusCode(NO_CONTENT);
			exchange.endExchange();
			return;
		}
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
		exchange.getResponseSender().send(createResponseFor(report.get().instanceId()));
	}

	private Optional<PeerLoadReport> parse(String json) {
		try {
			return Optional.ofNullable(this.gson.fromJson(json, PeerLoadReport.class))
				.filter(PeerLoadReport::hasRequiredFields)
				.map(PeerLoadReport::withoutInvalidEntries);
		}
		catch (JsonParseException ex) {
			this.context.log.logStateChange("cannot parse peer load report", Map.of("reason", String.valueOf(ex)));
			return Optional.empty();
		}
	}

	/**
	 * Applies a report of a peer to the peer and server tables.
	 * @param report report of the peer
	 */
	void applyReport(PeerLoadReport report) {
		long now = this.context.scheduler.nowMillis();
		report.draining().forEach(this.servers::markTerminating);
		boolean changed = this.peers.recordReport(report, now)
				| this.rateLimits.applyReported(report.knownRateLimits());
		this.peers.applyLoadsTo(this.servers, now);
		publishDigest(now);
		if (changed && !report.relay()) {
			scheduleReport();
		}
	}

	private String createResponseFor(String instanceId) {
		long now = this.context.scheduler.nowMillis();
		return this.gson
			.toJson(createReport(true, Stream.concat(ownLoads(), this.peers.loadsExcluding(instanceId, now)),
					this.peers.digestsExcluding(instanceId, now)));
	}

	private void sendReport() {
		this.reportScheduled = false;
		reschedulePeriodicReport();
		if (this.peers.isRelay()) {
			reportToRelays();
		}
		else {
			reportToAssignedRelay(() -> {
			});
		}
	}

	private void reschedulePeriodicReport() {
		if (this.nextReportTimer != null) {
			this.nextReportTimer.cancel();
		}
		this.nextReportTimer = this.context.scheduler.schedule(REPORT_INTERVAL_MILLIS, this::sendReport);
	}

	/**
	 * Creates a report to send with another message and postpones the next periodic
	 * report.
	 * @return the load that this instance has placed
	 */
	PeerLoadReport createOwnReport() {
		reschedulePeriodicReport();
		return createReport(false, ownLoads(), Stream.empty());
	}

	private void reportToRelays() {
		long now = this.context.scheduler.nowMillis();
		HttpTextRequest request = createRequest(createReport(true,
				Stream.concat(ownLoads(), this.peers.loadsToForward(now)), this.peers.digestsToForward(now)));
		this.peers.otherRelays()
			.forEach((peer) -> this.context.client.sendAsync(peer.address, request, REPORT_TIMEOUT_MILLIS,
					(result) -> this.context.metrics.recordDecision("peer told")));
	}

	private void reportToAssignedRelay(Runnable callback) {
		Optional<PeerTable.PeerEntry> relay = this.peers.assignedRelay(this.context.scheduler.nowMillis());
		if (relay.isEmpty()) {
			callback.run();
			return;
		}
		this.context.client.sendAsync(relay.get().address,
				createRequest(createReport(false, ownLoads(), Stream.empty())), REPORT_TIMEOUT_MILLIS, (result) -> {
					applyRelayResponse(relay.get(), result);
					callback.run();
				});
	}

	private void applyRelayResponse(PeerTable.PeerEntry relay, HttpTextResult result) {
		this.context.metrics.recordDecision("relay told");
		long now = this.context.scheduler.nowMillis();
		Optional<PeerLoadReport> report = (result instanceof HttpTextResult.Answered response
				&& response.status() == OK) ? parse(response.body()) : Optional.empty();
		if (report.isEmpty()) {
			this.peers.markUnresponsive(relay, now);
			this.context.log.logStateChange(
					"no valid response from relay to load report, skipping the relay temporarily",
					Map.of("relay", relay.member.instanceId(), "result", String.valueOf(result)));
			return;
		}
		report.get().draining().forEach(this.servers::markTerminating);
		this.rateLimits.applyReported(report.get().knownRateLimits());
		this.peers.recordRelayReport(report.get(), now);
		this.peers.applyLoadsTo(this.servers, now);
		publishDigest(now);
	}

	private void publishDigest(long nowMillis) {
		if (!this.participants.isEmpty()) {
			PeerDigest sum = this.peers.sumOfDigests(nowMillis);
			this.participants.forEach((participant) -> participant.onPeerDigest(sum, nowMillis));
		}
	}

	private Stream<PeerDigest> ownDigests(long nowMillis) {
		return this.participants.stream().map((participant) -> participant.ownDigest(nowMillis));
	}

	private Stream<PeerLoadReport.ServerLoad> ownLoads() {
		return this.servers.all()
			.stream()
			.filter((entry) -> !entry.attempts.isEmpty() || entry.reservedTokens > 0)
			.map((entry) -> new PeerLoadReport.ServerLoad(entry.registration.id(), entry.attempts.size(),
					entry.reservedTokens, entry.pendingPrefillTokens));
	}

	private PeerLoadReport createReport(boolean relay, Stream<PeerLoadReport.ServerLoad> loads,
			Stream<PeerDigest> forwardedDigests) {
		long now = this.context.scheduler.nowMillis();
		PeerDigest digest = PeerDigest.sum(Stream.concat(ownDigests(now), forwardedDigests));
		return new PeerLoadReport(this.context.settings.instanceId(), relay, PeerTable.sumByServer(loads),
				this.servers.drainingIncarnations(), this.rateLimits.toReport(), digest.isEmpty() ? null : digest);
	}

	private HttpTextRequest createRequest(PeerLoadReport report) {
		return new HttpTextRequest(Methods.POST, PATH, Optional.of(this.gson.toJson(report))).withLargeResponse();
	}

}
