package org.skylarkspring.gateway.internal;

import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

import com.google.gson.Gson;
import com.google.gson.JsonSyntaxException;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;

import org.skylarkspring.gateway.http.TextRequest;
import org.skylarkspring.gateway.http.TextResult;

/**
 * Exchanges with peers what was placed on each server. Relays tell each other; any other
 * instance tells one relay, which answers with what all others have placed.
 */
final class PeerExchange {

	static final String PATH = "/peer-load";

	/** Told at least so often, so that silence means that the peer is away. */
	private static final long INTERVAL_MILLIS = 1_000;

	/** Placements within this time are told together, at the least. */
	private static final long GATHER_MILLIS = 20;

	/**
	 * Bounds what a relay sends to 250 messages a second, whatever the number of relays.
	 */
	private static final long GATHER_MILLIS_PER_RELAY = 4;

	private static final long TIMEOUT_MILLIS = 500;

	/** Many times a round trip between data centres; a placement waits no longer. */
	private static final long REFRESH_TIMEOUT_MILLIS = 40;

	private static final int OK = 200;

	private static final int BAD_REQUEST = 400;

	private static final int NO_CONTENT = 204;

	private final Gson gson = new Gson();

	private final GatewayContext context;

	private final PeerTable peers;

	private final ServerTable servers;

	private boolean telling;

	private TimeSource.Timer nextTelling;

	PeerExchange(GatewayContext context, PeerTable peers, ServerTable servers) {
		this.context = context;
		this.peers = peers;
		this.servers = servers;
	}

	void start() {
		tell();
	}

	/** Tells the peers soon that load was placed. */
	void placed() {
		if (!this.telling) {
			this.telling = true;
			this.context.time.after(gatherMillis(), this::tell);
		}
	}

	private long gatherMillis() {
		return this.peers.relay() ? Math.max(GATHER_MILLIS, GATHER_MILLIS_PER_RELAY * this.peers.otherRelays().size())
				: GATHER_MILLIS;
	}

	/**
	 * Learns what others have placed, then decides. A relay is told of each placement and
	 * decides at once.
	 * @param decision the decision
	 */
	void refresh(Runnable decision) {
		if (this.peers.relay()) {
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
		this.context.time.after(REFRESH_TIMEOUT_MILLIS, once);
		tellOwnRelay(once);
	}

	void receive(HttpServerExchange exchange) {
		exchange.getRequestReceiver().receiveFullString((received, text) -> {
			Optional<PeerLoad> load = parse(text);
			if (load.isEmpty()) {
				received.setStatusCode(BAD_REQUEST);
				received.endExchange();
				return;
			}
			take(load.get());
			if (load.get().relay()) {
				received.setStatusCode(NO_CONTENT);
				received.endExchange();
				return;
			}
			received.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
			received.getResponseSender().send(answerTo(load.get().instanceId()));
		});
	}

	private Optional<PeerLoad> parse(String text) {
		try {
			return Optional.ofNullable(this.gson.fromJson(text, PeerLoad.class)).filter(PeerLoad::complete);
		}
		catch (JsonSyntaxException ex) {
			this.context.log.change("message of a peer can't be read", Map.of("reason", String.valueOf(ex)));
			return Optional.empty();
		}
	}

	/**
	 * Takes what a peer has told.
	 * @param load the message
	 */
	void take(PeerLoad load) {
		long now = this.context.time.nowMillis();
		load.draining().forEach(this.servers::noticedLeaving);
		boolean changed = this.peers.told(load, now);
		this.peers.addLoads(this.servers, now);
		if (changed && !load.relay()) {
			placed();
		}
	}

	private String answerTo(String instanceId) {
		Stream<PeerLoad.ServerLoad> others = this.peers.loadsBut(instanceId, this.context.time.nowMillis());
		return this.gson.toJson(message(true, Stream.concat(ownLoads(), others)));
	}

	private void tell() {
		this.telling = false;
		if (this.peers.relay()) {
			tellRelays();
		}
		else {
			tellOwnRelay(() -> {
			});
		}
		tellAgainLater();
	}

	private void tellAgainLater() {
		if (this.nextTelling != null) {
			this.nextTelling.remove();
		}
		this.nextTelling = this.context.time.after(INTERVAL_MILLIS, this::tell);
	}

	/**
	 * Returns what this instance has placed, to be told with another message.
	 * @return the message
	 */
	PeerLoad ownLoad() {
		tellAgainLater();
		return message(false, ownLoads());
	}

	private void tellRelays() {
		Stream<PeerLoad.ServerLoad> passedOn = this.peers.loadsToPassOn(this.context.time.nowMillis());
		TextRequest request = request(message(true, Stream.concat(ownLoads(), passedOn)));
		this.peers.otherRelays()
			.forEach((peer) -> this.context.client.call(peer.address, request, TIMEOUT_MILLIS,
					(result) -> this.context.metrics.decision("peer told")));
	}

	private void tellOwnRelay(Runnable then) {
		Optional<PeerTable.PeerEntry> relay = this.peers.ownRelay(this.context.time.nowMillis());
		if (relay.isEmpty()) {
			then.run();
			return;
		}
		this.context.client.call(relay.get().address, request(message(false, ownLoads())), TIMEOUT_MILLIS, (result) -> {
			answered(relay.get(), result);
			then.run();
		});
	}

	private void answered(PeerTable.PeerEntry relay, TextResult result) {
		this.context.metrics.decision("relay told");
		long now = this.context.time.nowMillis();
		Optional<PeerLoad> load = (result instanceof TextResult.Answered answer && answer.status() == OK)
				? parse(answer.body()) : Optional.empty();
		if (load.isEmpty()) {
			this.peers.silent(relay, now);
			this.context.log.change("relay silent",
					Map.of("relay", relay.member.instanceId(), "result", String.valueOf(result)));
			return;
		}
		load.get().draining().forEach(this.servers::noticedLeaving);
		this.peers.toldByRelay(load.get(), now);
		this.peers.addLoads(this.servers, now);
	}

	private Stream<PeerLoad.ServerLoad> ownLoads() {
		return this.servers.all()
			.stream()
			.filter((entry) -> !entry.attempts.isEmpty() || entry.promisedTokens > 0)
			.map((entry) -> new PeerLoad.ServerLoad(entry.listing.id(), entry.attempts.size(), entry.promisedTokens,
					entry.unreadTokens));
	}

	private PeerLoad message(boolean relay, Stream<PeerLoad.ServerLoad> loads) {
		return new PeerLoad(this.context.settings.instanceId(), relay, PeerTable.sum(loads), this.servers.draining());
	}

	private TextRequest request(PeerLoad message) {
		return new TextRequest(Methods.POST, PATH, Optional.of(this.gson.toJson(message)));
	}

}
