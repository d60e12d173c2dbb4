package org.skylarkspring.entry.internal;

import java.nio.charset.StandardCharsets;
import java.util.Optional;
import java.util.Set;
import java.util.function.BooleanSupplier;

import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Headers;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;

import org.skylarkspring.core.config.ServiceConfiguration;
import org.skylarkspring.core.config.ServiceKind;
import org.skylarkspring.core.config.WorkspaceConfiguration;
import org.skylarkspring.core.event.Event;
import org.skylarkspring.core.model.ErrorCode;
import org.skylarkspring.core.model.RequestSpec;
import org.skylarkspring.core.model.RequestSpecBuilder;
import org.skylarkspring.core.model.WorkClass;
import org.skylarkspring.entry.http.Json;

/**
 * Serves the paths that callers use: {@code /v1/completions} for model services,
 * {@code /services/NAME/...} for plain services, {@code /healthz} and {@code /readyz}.
 */
final class CallerHandler implements HttpHandler {

	private static final String SERVICES = "/services/";

	private static final String COMPLETIONS = "/v1/completions";

	private static final String IDEMPOTENCY_KEY = "Idempotency-Key";

	private static final String DEADLINE = "X-Deadline-Millis";

	private static final long DEADLINE_CLASS_WAIT_MILLIS = 10_000;

	private static final long PLAIN_WAIT_MILLIS = 10_000;

	private static final long MAXIMUM_WAIT_MILLIS = 600_000;

	private static final long OVERLOADED_RETRY_MILLIS = 1_000;

	private static final int CHARACTERS_PER_TOKEN = 4;

	private static final int DEFAULT_MAXIMUM_TOKENS = 32_768;

	private static final int PREFIX_CHARACTERS = 1_024;

	private static final Set<String> REPEATABLE_METHODS = Set.of("GET", "HEAD", "OPTIONS");

	private final EntryServices services;

	private final BooleanSupplier ready;

	private final BodyReader bodies;

	private final CallerConnections callers;

	CallerHandler(EntryServices services, BooleanSupplier ready) {
		this.services = services;
		this.ready = ready;
		this.bodies = new BodyReader(services.settings().bodyTimeoutMillis());
		this.callers = new CallerConnections(services.registry());
	}

	@Override
	public void handleRequest(HttpServerExchange exchange) {
		String path = exchange.getRequestPath();
		if (path.equals("/healthz")) {
			exchange.getResponseSender().send("ok\n");
		}
		else if (path.equals("/readyz")) {
			exchange.setStatusCode(this.ready.getAsBoolean() ? 200 : 503);
			exchange.getResponseSender().send(this.ready.getAsBoolean() ? "ready\n" : "not ready\n");
		}
		else if (path.equals(COMPLETIONS) && exchange.getRequestMethod().equals(Methods.POST)) {
			admit(exchange, this::readCompletion);
		}
		else if (path.startsWith(SERVICES)) {
			admit(exchange, this::readPlain);
		}
		else {
			Problem.notRun(ErrorCode.UNKNOWN_SERVICE, 0).send(exchange);
		}
	}

	private void admit(HttpServerExchange exchange, WorkspaceHandler next) {
		if (this.services.directory().configuration().isEmpty()) {
			Problem.notRun(ErrorCode.NOT_READY, OVERLOADED_RETRY_MILLIS).send(exchange);
			return;
		}
		if (this.services.registry().size() >= this.services.settings().maximumOpenRequests()) {
			Problem.notRun(ErrorCode.OVERLOADED, OVERLOADED_RETRY_MILLIS).send(exchange);
			return;
		}
		Optional<WorkspaceConfiguration> workspace = this.services.directory()
			.workspace(exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION));
		if (workspace.isEmpty()) {
			Problem.notRun(ErrorCode.UNKNOWN_KEY, 0).send(exchange);
			return;
		}
		next.handle(exchange, workspace.get());
	}

	private void readCompletion(HttpServerExchange exchange, WorkspaceConfiguration workspace) {
		this.bodies.read(exchange, this.services.directory().maximumBodyBytes(),
				(bytes) -> complete(exchange, workspace, new String(bytes, StandardCharsets.UTF_8)));
	}

	private void complete(HttpServerExchange exchange, WorkspaceConfiguration workspace, String text) {
		Optional<CompletionRequest> body = Json.read(text, CompletionRequest.class)
			.filter(CompletionRequest::wellFormed);
		if (body.isEmpty()) {
			Problem.notRun(ErrorCode.MALFORMED, 0).send(exchange);
			return;
		}
		Optional<ServiceConfiguration> service = service(body.get().model(), ServiceKind.GENERATION, workspace);
		if (service.isEmpty()) {
			Problem.notRun(ErrorCode.UNKNOWN_SERVICE, 0).send(exchange);
			return;
		}
		RequestSpec spec = completionSpec(exchange, workspace, service.get(), body.get());
		long requestId = this.services.registry().nextRequestId();
		submit(exchange, requestId, spec,
				new CompletionExchange(this.services, exchange, requestId, spec, workspace, body.get()));
	}

	private RequestSpec completionSpec(HttpServerExchange exchange, WorkspaceConfiguration workspace,
			ServiceConfiguration service, CompletionRequest body) {
		RequestSpecBuilder builder = RequestSpec.builder(service.name(), workspace.name())
			.promptTokens(body.prompt().length() / CHARACTERS_PER_TOKEN + 1)
			.maximumOutputTokens(Optional.ofNullable(body.maxTokens()).orElse(DEFAULT_MAXIMUM_TOKENS))
			.streamed(body.streamed())
			.receivedAtEpochMillis(System.currentTimeMillis())
			.deadlineMillis(deadlineMillis(exchange, defaultWaitMillis(workspace, service)));
		boolean longPrompt = body.prompt().length() >= PREFIX_CHARACTERS;
		if (body.promptCacheKey() != null || longPrompt) {
			int prefixCharacters = Math.min(body.prompt().length(), PREFIX_CHARACTERS);
			String prefix = Optional.ofNullable(body.promptCacheKey())
				.orElseGet(() -> body.prompt().substring(0, prefixCharacters));
			String hashed = ServiceDirectory.digest(workspace.name() + "\n" + prefix);
			builder.prefix(Long.parseUnsignedLong(hashed.substring(0, 15), 16),
					prefixCharacters / CHARACTERS_PER_TOKEN);
		}
		return builder.build();
	}

	private void readPlain(HttpServerExchange exchange, WorkspaceConfiguration workspace) {
		String rest = exchange.getRequestPath().substring(SERVICES.length());
		int slash = rest.indexOf('/');
		String name = (slash < 0) ? rest : rest.substring(0, slash);
		String query = exchange.getQueryString();
		String path = ((slash < 0) ? "/" : rest.substring(slash)) + (query.isEmpty() ? "" : "?" + query);
		Optional<ServiceConfiguration> service = service(name, ServiceKind.PLAIN, workspace);
		if (service.isEmpty()) {
			Problem.notRun(ErrorCode.UNKNOWN_SERVICE, 0).send(exchange);
			return;
		}
		this.bodies.read(exchange, service.get().maximumBodyBytes(),
				(bytes) -> callPlain(exchange, workspace, service.get(), path, bytes));
	}

	private void callPlain(HttpServerExchange exchange, WorkspaceConfiguration workspace, ServiceConfiguration service,
			String path, byte[] body) {
		String method = exchange.getRequestMethod().toString();
		String digested = method + " " + path + "\n" + ServiceDirectory.digest(body);
		RequestSpec spec = RequestSpec.builder(service.name(), workspace.name())
			.streamed(false)
			.idempotent(REPEATABLE_METHODS.contains(method))
			.idempotencyKey(exchange.getRequestHeaders().getFirst(IDEMPOTENCY_KEY))
			.bodyDigest(ServiceDirectory.digest(digested))
			.receivedAtEpochMillis(System.currentTimeMillis())
			.deadlineMillis(deadlineMillis(exchange, PLAIN_WAIT_MILLIS))
			.build();
		long requestId = this.services.registry().nextRequestId();
		submit(exchange, requestId, spec, new PlainExchange(this.services, exchange, requestId, spec, path,
				new String(body, StandardCharsets.UTF_8)));
	}

	private void submit(HttpServerExchange exchange, long requestId, RequestSpec spec, CallerRequest request) {
		exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
			this.services.registry().add(requestId, request);
			this.callers.watch(exchange, requestId);
			this.services.loop().post(new Event.RequestArrived(requestId, spec));
		});
	}

	private Optional<ServiceConfiguration> service(String name, ServiceKind kind, WorkspaceConfiguration workspace) {
		return this.services.directory()
			.service(name)
			.filter((service) -> service.kind() == kind && workspace.services().contains(service.name()));
	}

	private long defaultWaitMillis(WorkspaceConfiguration workspace, ServiceConfiguration service) {
		boolean interactive = workspace.workClass() == WorkClass.INTERACTIVE;
		return interactive ? service.firstTokenTargetMillis() : DEADLINE_CLASS_WAIT_MILLIS;
	}

	private long deadlineMillis(HttpServerExchange exchange, long defaultMillis) {
		String header = exchange.getRequestHeaders().getFirst(DEADLINE);
		if (header == null || !header.matches("\\d{1,9}")) {
			return defaultMillis;
		}
		return Math.min(Long.parseLong(header), MAXIMUM_WAIT_MILLIS);
	}

	@FunctionalInterface
	private interface WorkspaceHandler {

		void handle(HttpServerExchange exchange, WorkspaceConfiguration workspace);

	}

}
