package org.skylarkspring.entry.internal;

import java.nio.charset.StandardCharsets;
import java.security.MessageDigest;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.CompletableFuture;
import java.util.function.Consumer;
import java.util.function.Function;
import java.util.stream.Collectors;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;

import org.skylarkspring.core.DecisionCore;
import org.skylarkspring.core.config.Configuration;
import org.skylarkspring.core.model.ErrorCode;
import org.skylarkspring.core.model.InstanceRecord;
import org.skylarkspring.core.model.Verdict;
import org.skylarkspring.entry.api.AdminMessages;
import org.skylarkspring.entry.http.Json;

/**
 * Handles the HTTP requests on the control address, to which callers have no access:
 * requests of peers under {@code /peer}, of operators under {@code /admin}, and
 * {@code /metrics}.
 */
final class ControlHandler implements HttpHandler {

	private static final long MAXIMUM_BODY_BYTES = 4L * 1024 * 1024;

	private final EntryContext context;

	private final ControlState controlState;

	private final PeerGossip gossip;

	private final PlatformSync platformSync;

	private final ConfigurationPublisher publisher;

	private final RequestBodyReader bodyReader;

	ControlHandler(EntryContext context, ControlState controlState, PeerGossip gossip, PlatformSync platformSync,
			ConfigurationPublisher publisher) {
		this.context = context;
		this.controlState = controlState;
		this.gossip = gossip;
		this.platformSync = platformSync;
		this.publisher = publisher;
		this.bodyReader = new RequestBodyReader(context.settings().bodyTimeoutMillis());
	}

	@Override
	public void handleRequest(HttpServerExchange exchange) {
		String path = exchange.getRequestPath();
		if (path.equals("/metrics")) {
			sendMetrics(exchange);
		}
		else if (path.startsWith("/peer/")) {
			if (isAuthorized(exchange.getRequestHeaders().getFirst(PeerGossip.PEER_KEY_HEADER),
					this.context.settings().peerKey())) {
				handlePeerRequest(exchange, path);
				return;
			}
			ProblemDetails.notRun(ErrorCode.UNKNOWN_KEY, 0).send(exchange);
		}
		else if (path.startsWith("/admin/")) {
			if (isAuthorized(exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION),
					"Bearer " + this.context.settings().adminKey())) {
				handleAdminRequest(exchange, path);
				return;
			}
			ProblemDetails.notRun(ErrorCode.UNKNOWN_KEY, 0).send(exchange);
		}
		else {
			sendNotFound(exchange);
		}
	}

	private void handlePeerRequest(HttpServerExchange exchange, String path) {
		switch (path) {
			case "/peer/exchange" -> readMessage(exchange, PeerMessages.GossipDigest.class,
					(digest) -> sendJson(exchange, this.gossip.respondToDigest(digest)));
			case "/peer/manifest" -> sendManifest(exchange);
			case "/peer/shards" -> readMessage(exchange, PeerMessages.ShardRequest.class,
					(request) -> sendJson(exchange, findShards(request)));
			case "/peer/instances" -> sendJson(exchange, this.controlState.instanceList());
			default -> sendNotFound(exchange);
		}
	}

	private void handleAdminRequest(HttpServerExchange exchange, String path) {
		boolean post = exchange.getRequestMethod().equals(Methods.POST);
		switch (path) {
			case "/admin/status" -> sendWhenComplete(exchange, collectStatus());
			case "/admin/configuration" -> sendConfigurationPart(exchange, Function.identity());
			case "/admin/services" -> sendConfigurationPart(exchange, Configuration::services);
			case "/admin/pools" -> sendConfigurationPart(exchange, Configuration::pools);
			case "/admin/workspaces" -> sendConfigurationPart(exchange, Configuration::workspaces);
			case "/admin/data-centres" -> sendConfigurationPart(exchange, Configuration::dataCentres);
			case "/admin/publish" ->
				handleCommand(exchange, post, AdminMessages.PublishRequest.class, this::publishConfiguration);
			case "/admin/drain" ->
				handleCommand(exchange, post, AdminMessages.DrainRequest.class, this::applyDrainRequest);
			default -> sendNotFound(exchange);
		}
	}

	private void sendManifest(HttpServerExchange exchange) {
		this.controlState.shardedConfiguration()
			.ifPresentOrElse((sharded) -> sendJson(exchange, sharded.manifest()), () -> sendNotFound(exchange));
	}

	private void sendConfigurationPart(HttpServerExchange exchange, Function<Configuration, ?> part) {
		this.controlState.configuration()
			.ifPresentOrElse((configuration) -> sendJson(exchange, part.apply(configuration)),
					() -> sendNotFound(exchange));
	}

	private PeerMessages.ShardResponse findShards(PeerMessages.ShardRequest request) {
		Map<String, String> localShards = this.controlState.shards();
		return new PeerMessages.ShardResponse(request.names()
			.stream()
			.filter(localShards::containsKey)
			.collect(Collectors.toMap(Function.identity(), localShards::get, (first, second) -> first)));
	}

	private <T> void handleCommand(HttpServerExchange exchange, boolean post, Class<T> type,
			Function<T, CompletableFuture<AdminMessages.CommandResult>> command) {
		if (!post) {
			sendNotFound(exchange);
			return;
		}
		readMessage(exchange, type, (message) -> sendWhenComplete(exchange, command.apply(message)));
	}

	private CompletableFuture<AdminMessages.CommandResult> publishConfiguration(AdminMessages.PublishRequest request) {
		if (!request.isWellFormed()) {
			return CompletableFuture.completedFuture(new AdminMessages.CommandResult(Verdict.NOT_RUN.wireName(), 0,
					"configuration must contain the lists services, pools, workspaces and dataCentres"));
		}
		return this.publisher.publish(request.configuration(), request.expectedRevision()).thenApply((result) -> {
			this.gossip.gossipNow();
			return new AdminMessages.CommandResult(result.verdict().wireName(), result.revision(), result.message());
		});
	}

	private CompletableFuture<AdminMessages.CommandResult> applyDrainRequest(AdminMessages.DrainRequest request) {
		this.controlState.issueDrainDirective(request.targetKind(), request.target(), request.drained(),
				this.context.settings().instanceId());
		this.gossip.gossipNow();
		this.platformSync.saveDrainDirectives();
		String change = request.drained() ? "drained" : "restored";
		return CompletableFuture.completedFuture(
				new AdminMessages.CommandResult(Verdict.RAN.wireName(), 0, request.target() + " " + change));
	}

	private CompletableFuture<AdminMessages.StatusResponse> collectStatus() {
		return this.context.coreLoop()
			.query(DecisionCore::status)
			.thenApply((coreStatus) -> new AdminMessages.StatusResponse(this.context.settings().instanceId(),
					coreStatus, this.controlState.drainDirectives(),
					this.controlState.entryInstances().stream().map(this::revisionOf).toList()));
	}

	private AdminMessages.InstanceRevision revisionOf(InstanceRecord instance) {
		boolean own = instance.instanceId().equals(this.context.settings().instanceId());
		long reportedRevision = Optional.ofNullable(this.controlState.peerDigests().get(instance.instanceId()))
			.map(PeerMessages.GossipDigest::revision)
			.orElse(-1L);
		return new AdminMessages.InstanceRevision(instance.instanceId(), instance.dataCentre(),
				own ? this.controlState.revision() : reportedRevision);
	}

	private void sendMetrics(HttpServerExchange exchange) {
		exchange.dispatch(SameThreadExecutor.INSTANCE,
				() -> this.context.coreLoop()
					.query(DecisionCore::status)
					.thenAccept((coreStatus) -> exchange.getIoThread().execute(() -> {
						this.context.metrics().setCoreCounters(coreStatus.counters());
						exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain; version=0.0.4");
						exchange.getResponseSender().send(this.context.metrics().toPrometheusText());
					})));
	}

	private <T> void readMessage(HttpServerExchange exchange, Class<T> type, Consumer<T> next) {
		this.bodyReader.read(exchange, MAXIMUM_BODY_BYTES, (bytes) -> {
			Optional<T> message = Json.read(new String(bytes, StandardCharsets.UTF_8), type);
			if (message.isEmpty()) {
				ProblemDetails.notRun(ErrorCode.MALFORMED, 0).send(exchange);
				return;
			}
			next.accept(message.get());
		});
	}

	private static void sendWhenComplete(HttpServerExchange exchange, CompletableFuture<?> response) {
		exchange.dispatch(SameThreadExecutor.INSTANCE,
				() -> response.thenAccept((value) -> exchange.getIoThread().execute(() -> sendJson(exchange, value))));
	}

	private static void sendJson(HttpServerExchange exchange, Object message) {
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
		exchange.getResponseSender().send(Json.write(message));
	}

	private static void sendNotFound(HttpServerExchange exchange) {
		exchange.setStatusCode(404);
		exchange.endExchange();
	}

	private static boolean isAuthorized(String given, String expected) {
		byte[] givenBytes = Optional.ofNullable(given).orElse("").getBytes(StandardCharsets.UTF_8);
		return MessageDigest.isEqual(givenBytes, expected.getBytes(StandardCharsets.UTF_8));
	}

}
