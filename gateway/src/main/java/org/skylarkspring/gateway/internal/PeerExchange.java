package org.skylarkspring.gateway.internal;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.google.gson.Gson;
import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonSyntaxException;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Methods;

import org.skylarkspring.gateway.http.TextRequest;
import org.skylarkspring.gateway.model.ObjectChange;
import org.skylarkspring.gateway.model.ObjectKind;
import org.skylarkspring.gateway.model.StoreResult;
import org.skylarkspring.gateway.model.StoredObject;
import org.skylarkspring.gateway.port.ObjectStore;

/**
 * Makes instances known to each other through the store and tells the peers what this
 * instance has placed on each server.
 */
final class PeerExchange implements KindWatch.Listener {

	static final String PATH = "/peer-load";

	/** Told at least so often, so that silence means that the peer is away. */
	private static final long INTERVAL_MILLIS = 1_000;

	/** Placements within this time are told together. */
	private static final long GATHER_MILLIS = 20;

	private static final long TIMEOUT_MILLIS = 500;

	private static final long WRITE_RETRY_MILLIS = 1_000;

	private static final int BAD_REQUEST = 400;

	private static final int NO_CONTENT = 204;

	private final Gson gson = new Gson();

	private final GatewayContext context;

	private final ObjectStore store;

	private final PeerTable peers;

	private final ServerTable servers;

	private boolean telling;

	private TimeSource.Timer nextTelling;

	PeerExchange(GatewayContext context, ObjectStore store, PeerTable peers, ServerTable servers) {
		this.context = context;
		this.store = store;
		this.peers = peers;
		this.servers = servers;
	}

	void start() {
		announce();
		tell();
	}

	/** Removes this instance from the list of instances. */
	void leave() {
		this.store.remove(ObjectKind.INSTANCES, this.context.settings.instanceId(), (result) -> this.context.log
			.change("instance removed from the list", Map.of("result", result.getClass().getSimpleName())));
	}

	@Override
	public void listed(List<StoredObject> all, boolean afterOutage) {
		this.peers.all().keySet().retainAll(all.stream().map(StoredObject::name).toList());
		all.forEach(this::put);
	}

	@Override
	public void changed(ObjectChange change) {
		if (change.deleted()) {
			this.peers.all().remove(change.object().name());
		}
		else {
			put(change.object());
		}
	}

	void receive(HttpServerExchange exchange) {
		exchange.getRequestReceiver().receiveFullString((received, text) -> {
			received.setStatusCode(take(text) ? NO_CONTENT : BAD_REQUEST);
			received.endExchange();
		});
	}

	private boolean take(String text) {
		try {
			PeerLoad load = this.gson.fromJson(text, PeerLoad.class);
			if (load == null || load.instanceId() == null || load.loads() == null || load.draining() == null) {
				return false;
			}
			PeerTable.PeerEntry peer = this.peers.all().get(load.instanceId());
			load.draining().forEach(this.servers::noticedLeaving);
			if (peer != null) {
				peer.loads = load.loads();
				peer.heardMillis = this.context.time.nowMillis();
				this.peers.addLoads(this.servers, peer.heardMillis);
			}
			return true;
		}
		catch (JsonSyntaxException ex) {
			this.context.log.change("message of a peer can't be read", Map.of("reason", String.valueOf(ex)));
			return false;
		}
	}

	private void announce() {
		JsonObject content = new JsonObject();
		content.addProperty("peerAddress", this.context.settings.peerAddress());
		this.store.write(ObjectKind.INSTANCES, this.context.settings.instanceId(), content.toString(), (result) -> {
			if (!(result instanceof StoreResult.Written)) {
				this.context.log.change("instance not announced", Map.of("result", String.valueOf(result)));
				this.context.time.after(WRITE_RETRY_MILLIS, this::announce);
			}
		});
	}

	private void put(StoredObject object) {
		if (object.name().equals(this.context.settings.instanceId())) {
			return;
		}
		Optional.ofNullable(object.content().get("peerAddress"))
			.filter(JsonElement::isJsonPrimitive)
			.map(JsonElement::getAsString)
			.ifPresent((address) -> {
				PeerTable.PeerEntry known = this.peers.all().get(object.name());
				if (known == null || !known.address.equals(address)) {
					this.peers.all().put(object.name(), new PeerTable.PeerEntry(address));
				}
			});
	}

	/** Tells the peers soon that a generation was placed. */
	void placed() {
		if (!this.telling) {
			this.telling = true;
			this.context.time.after(GATHER_MILLIS, this::tell);
		}
	}

	private void tell() {
		this.telling = false;
		if (this.nextTelling != null) {
			this.nextTelling.remove();
		}
		List<PeerLoad.ServerLoad> loads = this.servers.all()
			.stream()
			.filter((entry) -> !entry.attempts.isEmpty() || entry.promisedTokens > 0)
			.map((entry) -> new PeerLoad.ServerLoad(entry.listing.id(), entry.attempts.size(), entry.promisedTokens,
					entry.unreadTokens))
			.toList();
		String text = this.gson
			.toJson(new PeerLoad(this.context.settings.instanceId(), loads, this.servers.draining()));
		TextRequest request = new TextRequest(Methods.POST, PATH, Optional.of(text));
		this.peers.all()
			.values()
			.forEach((peer) -> this.context.client.call(peer.address, request, TIMEOUT_MILLIS,
					(result) -> this.context.metrics.decision("peer told")));
		this.nextTelling = this.context.time.after(INTERVAL_MILLIS, this::tell);
	}

}
