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
 * Serves peers under {@code /peer}, operators under {@code /admin} and metrics, on an
 * address that callers do not reach.
 */
final class ControlHandler implements HttpHandler {

	private static final long MAXIMUM_BODY_BYTES = 4L * 1024 * 1024;

	private final EntryServices services;

	private final ControlState state;

	private final PeerGossip gossip;

	private final PlatformSync platformSync;

	private final Publisher publisher;

	private final BodyReader bodies;

	ControlHandler(EntryServices services, ControlState state, PeerGossip gossip, PlatformSync platformSync,
			Publisher publisher) {
		this.services = services;
		this.state = state;
		this.gossip = gossip;
		this.platformSync = platformSync;
		this.publisher = publisher;
		this.bodies = new BodyReader(services.settings().bodyTimeoutMillis());
	}

	@Override
	public void handleRequest(HttpServerExchange exchange) {
		String path = exchange.getRequestPath();
		if (path.equals("/metrics")) {
			metrics(exchange);
		}
		else if (path.startsWith("/peer/")) {
			if (allowed(exchange.getRequestHeaders().getFirst(PeerGossip.PEER_KEY_HEADER),
					this.services.settings().peerKey())) {
				peer(exchange, path);
				return;
			}
			Problem.notRun(ErrorCode.UNKNOWN_KEY, 0).send(exchange);
		}
		else if (path.startsWith("/admin/")) {
			if (allowed(exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION),
					"Bearer " + this.services.settings().adminKey())) {
				admin(exchange, path);
				return;
			}
			Problem.notRun(ErrorCode.UNKNOWN_KEY, 0).send(exchange);
		}
		else {
			notFound(exchange);
		}
	}

	private void peer(HttpServerExchange exchange, String path) {
		switch (path) {
			case "/peer/exchange" ->
				read(exchange, PeerMessages.Digest.class, (digest) -> send(exchange, this.gossip.answer(digest)));
			case "/peer/manifest" -> manifest(exchange);
			case "/peer/shards" ->
				read(exchange, PeerMessages.ShardRequest.class, (request) -> send(exchange, shards(request)));
			case "/peer/instances" -> send(exchange, this.state.instances());
			default -> notFound(exchange);
		}
	}

	private void admin(HttpServerExchange exchange, String path) {
		boolean post = exchange.getRequestMethod().equals(Methods.POST);
		switch (path) {
			case "/admin/status" -> later(exchange, status());
			case "/admin/configuration" -> configured(exchange, Function.identity());
			case "/admin/services" -> configured(exchange, Configuration::services);
			case "/admin/pools" -> configured(exchange, Configuration::pools);
			case "/admin/workspaces" -> configured(exchange, Configuration::workspaces);
			case "/admin/data-centres" -> configured(exchange, Configuration::dataCentres);
			case "/admin/publish" -> orders(exchange, post, AdminMessages.Publish.class, this::publish);
			case "/admin/drain" -> orders(exchange, post, AdminMessages.Drain.class, this::drain);
			default -> notFound(exchange);
		}
	}

	private void manifest(HttpServerExchange exchange) {
		this.state.sharded().ifPresentOrElse((held) -> send(exchange, held.manifest()), () -> notFound(exchange));
	}

	private void configured(HttpServerExchange exchange, Function<Configuration, ?> part) {
		this.state.configuration()
			.ifPresentOrElse((configuration) -> send(exchange, part.apply(configuration)), () -> notFound(exchange));
	}

	private PeerMessages.ShardReply shards(PeerMessages.ShardRequest request) {
		Map<String, String> held = this.state.shards();
		return new PeerMessages.ShardReply(request.names()
			.stream()
			.filter(held::containsKey)
			.collect(Collectors.toMap(Function.identity(), held::get, (first, second) -> first)));
	}

	private <T> void orders(HttpServerExchange exchange, boolean post, Class<T> type,
			Function<T, CompletableFuture<AdminMessages.OrderResult>> order) {
		if (!post) {
			notFound(exchange);
			return;
		}
		read(exchange, type, (message) -> later(exchange, order.apply(message)));
	}

	private CompletableFuture<AdminMessages.OrderResult> publish(AdminMessages.Publish order) {
		if (!order.wellFormed()) {
			return CompletableFuture.completedFuture(
					new AdminMessages.OrderResult(Verdict.NOT_RUN.wireName(), 0, "the configuration lacks a list"));
		}
		return this.publisher.publish(order.configuration(), order.expectedRevision()).thenApply((result) -> {
			this.gossip.spread();
			return new AdminMessages.OrderResult(result.verdict().wireName(), result.revision(), result.message());
		});
	}

	private CompletableFuture<AdminMessages.OrderResult> drain(AdminMessages.Drain order) {
		this.state.issue(order.targetKind(), order.target(), order.drained(), this.services.settings().instanceId());
		this.gossip.spread();
		this.platformSync.saveDirectives();
		String change = order.drained() ? "drained" : "restored";
		return CompletableFuture
			.completedFuture(new AdminMessages.OrderResult(Verdict.RAN.wireName(), 0, order.target() + " " + change));
	}

	private CompletableFuture<AdminMessages.Status> status() {
		return this.services.loop()
			.query(DecisionCore::status)
			.thenApply((core) -> new AdminMessages.Status(this.services.settings().instanceId(), core,
					this.state.directives(), this.state.entryInstances().stream().map(this::revision).toList()));
	}

	private AdminMessages.InstanceRevision revision(InstanceRecord instance) {
		boolean own = instance.instanceId().equals(this.services.settings().instanceId());
		long heard = Optional.ofNullable(this.state.peers().get(instance.instanceId()))
			.map(PeerMessages.Digest::revision)
			.orElse(-1L);
		return new AdminMessages.InstanceRevision(instance.instanceId(), instance.dataCentre(),
				own ? this.state.revision() : heard);
	}

	private void metrics(HttpServerExchange exchange) {
		exchange.dispatch(SameThreadExecutor.INSTANCE,
				() -> this.services.loop()
					.query(DecisionCore::status)
					.thenAccept((core) -> exchange.getIoThread().execute(() -> {
						this.services.metrics().coreCounters(core.counters());
						exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain; version=0.0.4");
						exchange.getResponseSender().send(this.services.metrics().exposition());
					})));
	}

	private <T> void read(HttpServerExchange exchange, Class<T> type, Consumer<T> next) {
		this.bodies.read(exchange, MAXIMUM_BODY_BYTES, (bytes) -> {
			Optional<T> message = Json.read(new String(bytes, StandardCharsets.UTF_8), type);
			if (message.isEmpty()) {
				Problem.notRun(ErrorCode.MALFORMED, 0).send(exchange);
				return;
			}
			next.accept(message.get());
		});
	}

	private static void later(HttpServerExchange exchange, CompletableFuture<?> reply) {
		exchange.dispatch(SameThreadExecutor.INSTANCE,
				() -> reply.thenAccept((value) -> exchange.getIoThread().execute(() -> send(exchange, value))));
	}

	private static void send(HttpServerExchange exchange, Object message) {
		exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "application/json");
		exchange.getResponseSender().send(Json.write(message));
	}

	private static void notFound(HttpServerExchange exchange) {
		exchange.setStatusCode(404);
		exchange.endExchange();
	}

	private static boolean allowed(String given, String expected) {
		byte[] presented = Optional.ofNullable(given).orElse("").getBytes(StandardCharsets.UTF_8);
		return MessageDigest.isEqual(presented, expected.getBytes(StandardCharsets.UTF_8));
	}

}
