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
import org.skylarkspring.entry.http.AsyncHttpClient;
import org.skylarkspring.entry.http.HttpClientRequest;
import org.skylarkspring.entry.http.Json;

/**
 * Exchanges digests with random peers, once a second and immediately after a change, so
 * that configuration, instance list, drain directives and warm-up records reach every
 * instance without the platform.
 */
final class PeerGossip {

	static final String PEER_KEY_HEADER = "X-Peer-Key";

	private static final long GOSSIP_INTERVAL_MILLIS = 1_000;

	private static final long REQUEST_TIMEOUT_MILLIS = 1_500;

	private static final int GOSSIP_FANOUT = 4;

	private static final int STATUS_OK = 200;

	private static final int MAXIMUM_WARMUP_RECORDS_PER_DIGEST = 32;

	private final EntrySettings settings;

	private final ControlState controlState;

	private final AsyncHttpClient httpClient;

	private final EntryMetrics metrics;

	private final ScheduledExecutorService scheduler;

	private final ConfigurationFetcher configurationFetcher;

	private volatile boolean needsAllWarmupRecords = true;

	private volatile boolean drainDirectivesDiffer = true;

	PeerGossip(EntrySettings settings, ControlState controlState, AsyncHttpClient httpClient, EntryMetrics metrics,
			ScheduledExecutorService scheduler) {
		this.settings = settings;
		this.controlState = controlState;
		this.httpClient = httpClient;
		this.metrics = metrics;
		this.scheduler = scheduler;
		this.configurationFetcher = new ConfigurationFetcher(controlState);
	}

	void start() {
		this.scheduler.scheduleAtFixedRate(() -> gossipWithRandomPeers(1), 0, GOSSIP_INTERVAL_MILLIS,
				TimeUnit.MILLISECONDS);
	}

	/**
	 * Exchanges digests that include the drain directives with several peers immediately
	 * after a change.
	 */
	void gossipNow() {
		this.drainDirectivesDiffer = true;
		this.scheduler.execute(() -> gossipWithRandomPeers(GOSSIP_FANOUT));
	}

	/**
	 * Merges the digest of a peer and creates the response.
	 * @param peerDigest digest of the peer
	 * @return digest of this instance
	 */
	PeerMessages.GossipDigest respondToDigest(PeerMessages.GossipDigest peerDigest) {
		mergePeerDigest(peerDigest);
		boolean directivesDiffer = peerDigest.directivesDigest() != this.controlState.drainDirectivesDigest();
		return createDigest(directivesDiffer, peerDigest.wantsRamps());
	}

	private void gossipWithRandomPeers(int count) {
		List<String> candidates = new ArrayList<>(peerAddresses());
		Collections.shuffle(candidates, ThreadLocalRandom.current());
		candidates.stream().limit(count).forEach(this::exchangeDigests);
	}

	private void exchangeDigests(String address) {
		String message = Json.write(createDigest(this.drainDirectivesDiffer, false));
		HttpClientRequest request = HttpClientRequest.post(address, "/peer/exchange", message)
			.withHeader(PEER_KEY_HEADER, this.settings.peerKey());
		this.httpClient.send(request, REQUEST_TIMEOUT_MILLIS).thenAccept((response) -> {
			this.metrics.recordControlMessage("peer-exchange", message.length() + response.body().length());
			if (response.status() == STATUS_OK) {
				Json.read(response.body(), PeerMessages.GossipDigest.class)
					.ifPresent((peerDigest) -> handleResponseDigest(address, peerDigest));
			}
		});
	}

	private void handleResponseDigest(String address, PeerMessages.GossipDigest peerDigest) {
		this.needsAllWarmupRecords = false;
		mergePeerDigest(peerDigest);
		this.drainDirectivesDiffer = peerDigest.directivesDigest() != this.controlState.drainDirectivesDigest();
		if (peerDigest.revision() > this.controlState.revision()) {
			fetchFromPeer(HttpClientRequest.get(address, "/peer/manifest"), ConfigurationManifest.class)
				.thenAccept((manifest) -> manifest.ifPresent((found) -> applyManifest(address, found)));
		}
		if (peerDigest.listVersion() > this.controlState.instanceList().version()) {
			fetchFromPeer(HttpClientRequest.get(address, "/peer/instances"), PeerMessages.InstanceList.class)
				.thenAccept(
						(list) -> gossipNowIfChanged(list.isPresent() && this.controlState.applyIfNewer(list.get())));
		}
	}

	private void applyManifest(String address, ConfigurationManifest manifest) {
		this.configurationFetcher.fetchAndApplyIfNewer(manifest, (names) -> fetchShards(address, names))
			.thenAccept(this::gossipNowIfChanged);
	}

	private CompletableFuture<Map<String, String>> fetchShards(String address, List<String> names) {
		HttpClientRequest request = HttpClientRequest.post(address, "/peer/shards",
				Json.write(new PeerMessages.ShardRequest(names)));
		return fetchFromPeer(request, PeerMessages.ShardResponse.class)
			.thenApply((response) -> response.map(PeerMessages.ShardResponse::shards).orElse(Map.of()));
	}

	private void gossipNowIfChanged(boolean changed) {
		if (changed) {
			gossipNow();
		}
	}

	private <T> CompletableFuture<Optional<T>> fetchFromPeer(HttpClientRequest request, Class<T> type) {
		return this.httpClient
			.send(request.withHeader(PEER_KEY_HEADER, this.settings.peerKey()), REQUEST_TIMEOUT_MILLIS)
			.thenApply((response) -> {
				this.metrics.recordControlMessage("peer-fetch",
						request.body().orElse("").length() + response.body().length());
				return (response.status() == STATUS_OK) ? Json.read(response.body(), type) : Optional.empty();
			});
	}

	private void mergePeerDigest(PeerMessages.GossipDigest peerDigest) {
		this.controlState.recordPeerDigest(peerDigest);
		this.controlState.forwardWarmupRecords(Optional.ofNullable(peerDigest.ramps()).orElse(List.of()));
		boolean changed = peerDigest.directives() != null && this.controlState.applyIfNewer(peerDigest.directives());
		if (changed) {
			gossipNow();
		}
	}

	private PeerMessages.GossipDigest createDigest(boolean includeDirectives, boolean includeAllWarmupRecords) {
		List<WarmupRecord> warmupRecords = includeAllWarmupRecords ? this.controlState.warmupRecords()
				: this.controlState.unfinishedWarmupRecords()
					.stream()
					.limit(MAXIMUM_WARMUP_RECORDS_PER_DIGEST)
					.toList();
		return new PeerMessages.GossipDigest(this.settings.instanceId(), this.settings.dataCentre(),
				this.controlState.revision(), this.controlState.instanceList().version(),
				this.controlState.drainDirectivesDigest(),
				includeDirectives ? this.controlState.drainDirectives() : null, warmupRecords,
				this.needsAllWarmupRecords);
	}

	private List<String> peerAddresses() {
		List<String> listedAddresses = this.controlState.entryInstances()
			.stream()
			.map(InstanceRecord::address)
			.filter((address) -> !address.equals(this.settings.controlAddress()))
			.toList();
		return listedAddresses.isEmpty() ? this.settings.peers() : listedAddresses;
	}

}
