package org.skylarkspring.entry.internal;

import java.util.ArrayList;
import java.util.Collections;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import org.skylarkspring.core.model.InstanceRecord;
import org.skylarkspring.core.model.WarmupRecord;
import org.skylarkspring.entry.EntrySettings;
import org.skylarkspring.entry.http.HttpCall;
import org.skylarkspring.entry.http.HttpCaller;
import org.skylarkspring.entry.http.Json;

/**
 * Exchanges digests with random peers, once a second and at once after news, so that
 * configuration, directives and warm-up records reach every instance without the
 * platform.
 */
final class PeerGossip {

	static final String PEER_KEY_HEADER = "X-Peer-Key";

	private static final long PERIOD_MILLIS = 1_000;

	private static final long TIMEOUT_MILLIS = 1_500;

	private static final int FAN_OUT = 4;

	private static final int STATUS_OK = 200;

	private static final int MAXIMUM_RAMPS = 32;

	private final EntrySettings settings;

	private final ControlState state;

	private final HttpCaller caller;

	private final EntryMetrics metrics;

	private final ScheduledExecutorService scheduler;

	private final ConfigurationFetcher fetcher;

	private volatile boolean wantsRamps = true;

	private volatile boolean directivesDiffer = true;

	PeerGossip(EntrySettings settings, ControlState state, HttpCaller caller, EntryMetrics metrics,
			ScheduledExecutorService scheduler) {
		this.settings = settings;
		this.state = state;
		this.caller = caller;
		this.metrics = metrics;
		this.scheduler = scheduler;
		this.fetcher = new ConfigurationFetcher(state);
	}

	void start() {
		this.scheduler.scheduleAtFixedRate(() -> exchangeWith(1), 0, PERIOD_MILLIS, TimeUnit.MILLISECONDS);
	}

	/** Tells several peers at once after something new was learned. */
	void spread() {
		this.directivesDiffer = true;
		this.scheduler.execute(() -> exchangeWith(FAN_OUT));
	}

	/**
	 * Answers the digest of a peer.
	 * @param theirs the peer's digest
	 * @return this instance's digest
	 */
	PeerMessages.Digest answer(PeerMessages.Digest theirs) {
		take(theirs);
		boolean differ = theirs.directivesDigest() != this.state.directivesDigest();
		return digest(differ, theirs.wantsRamps());
	}

	private void exchangeWith(int count) {
		List<String> candidates = new ArrayList<>(peerAddresses());
		Collections.shuffle(candidates, ThreadLocalRandom.current());
		candidates.stream().limit(count).forEach(this::exchange);
	}

	private void exchange(String address) {
		String message = Json.write(digest(this.directivesDiffer, false));
		HttpCall call = HttpCall.post(address, "/peer/exchange", message)
			.header(PEER_KEY_HEADER, this.settings.peerKey());
		this.caller.call(call, TIMEOUT_MILLIS).thenAccept((reply) -> {
			this.metrics.controlMessage("peer-exchange", message.length() + reply.body().length());
			if (reply.status() == STATUS_OK) {
				Json.read(reply.body(), PeerMessages.Digest.class).ifPresent((theirs) -> answered(address, theirs));
			}
		});
	}

	private void answered(String address, PeerMessages.Digest theirs) {
		this.wantsRamps = false;
		take(theirs);
		this.directivesDiffer = theirs.directivesDigest() != this.state.directivesDigest();
		if (theirs.revision() > this.state.revision()) {
			fetch(HttpCall.get(address, "/peer/manifest"), ConfigurationManifest.class)
				.thenAccept((manifest) -> manifest.ifPresent((found) -> apply(address, found)));
		}
		if (theirs.listVersion() > this.state.instances().version()) {
			fetch(HttpCall.get(address, "/peer/instances"), PeerMessages.InstanceList.class)
				.thenAccept((list) -> spreadIf(list.isPresent() && this.state.offer(list.get())));
		}
	}

	private void apply(String address, ConfigurationManifest manifest) {
		this.fetcher.apply(manifest, (names) -> shards(address, names)).thenAccept(this::spreadIf);
	}

	private CompletableFuture<Map<String, String>> shards(String address, List<String> names) {
		HttpCall call = HttpCall.post(address, "/peer/shards", Json.write(new PeerMessages.ShardRequest(names)));
		return fetch(call, PeerMessages.ShardReply.class)
			.thenApply((reply) -> reply.map(PeerMessages.ShardReply::shards).orElse(Map.of()));
	}

	private void spreadIf(boolean news) {
		if (news) {
			spread();
		}
	}

	private <T> CompletableFuture<Optional<T>> fetch(HttpCall call, Class<T> type) {
		return this.caller.call(call.header(PEER_KEY_HEADER, this.settings.peerKey()), TIMEOUT_MILLIS)
			.thenApply((reply) -> {
				this.metrics.controlMessage("peer-fetch", call.body().orElse("").length() + reply.body().length());
				return (reply.status() == STATUS_OK) ? Json.read(reply.body(), type) : Optional.empty();
			});
	}

	private void take(PeerMessages.Digest theirs) {
		this.state.seen(theirs);
		this.state.offerRamps(Optional.ofNullable(theirs.ramps()).orElse(List.of()));
		boolean news = theirs.directives() != null && this.state.offer(theirs.directives());
		if (news) {
			spread();
		}
	}

	private PeerMessages.Digest digest(boolean withDirectives, boolean allRamps) {
		List<WarmupRecord> sent = allRamps ? this.state.ramps()
				: this.state.warmingRamps().stream().limit(MAXIMUM_RAMPS).toList();
		return new PeerMessages.Digest(this.settings.instanceId(), this.settings.dataCentre(), this.state.revision(),
				this.state.instances().version(), this.state.directivesDigest(),
				withDirectives ? this.state.directives() : null, sent, this.wantsRamps);
	}

	private List<String> peerAddresses() {
		List<String> listed = this.state.entryInstances()
			.stream()
			.map(InstanceRecord::address)
			.filter((address) -> !address.equals(this.settings.controlAddress()))
			.toList();
		return listed.isEmpty() ? this.settings.peers() : listed;
	}

}
