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
 * Handles the HTTP requests of callers: {@code /v1/completions} for model services,
 * {@code /services/NAME/...} for plain services, {@code /healthz} and {@code /readyz}.
 */
final class CallerHandler implements HttpHandler {

	private static final String SERVICES_PATH_PREFIX = "/services/";

	private static final String COMPLETIONS_PATH = "/v1/completions";

	private static final String IDEMPOTENCY_KEY_HEADER = "Idempotency-Key";

	private static final String DEADLINE_HEADER = "X-Deadline-Millis";

	private static final long DEFAULT_DEADLINE_CLASS_WAIT_MILLIS = 10_000;

	private static final long DEFAULT_PLAIN_WAIT_MILLIS = 10_000;

	private static final long MAXIMUM_WAIT_MILLIS = 600_000;

	private static final long RETRY_AFTER_MILLIS = 1_000;

	private static final int ESTIMATED_CHARACTERS_PER_TOKEN = 4;

	private static final int DEFAULT_MAXIMUM_OUTPUT_TOKENS = 32_768;

	private static final int MAXIMUM_PREFIX_CHARACTERS = 1_024;

	private static final Set<String> IDEMPOTENT_METHODS = Set.of("GET", "HEAD", "OPTIONS");

	private final EntryContext context;

	private final BooleanSupplier readinessCheck;

	private final RequestBodyReader bodyReader;

	private final CallerDisconnectDetector disconnectDetector;

	CallerHandler(EntryContext context, BooleanSupplier readinessCheck) {
		this.context = context;
		this.readinessCheck = readinessCheck;
		this.bodyReader = new RequestBodyReader(context.settings().bodyTimeoutMillis());
		this.disconnectDetector = new CallerDisconnectDetector(context.requestRegistry());
	}

	@Override
	public void handleRequest(HttpServerExchange exchange) {
		String path = exchange.getRequestPath();
		if (path.equals("/healthz")) {
			exchange.getResponseSender().send("ok\n");
		}
		else if (path.equals("/readyz")) {
			exchange.setStatusCode(this.readinessCheck.getAsBoolean() ? 200 : 503);
			exchange.getResponseSender().send(this.readinessCheck.getAsBoolean() ? "ready\n" : "not ready\n");
		}
		else if (path.equals(COMPLETIONS_PATH) && exchange.getRequestMethod().equals(Methods.POST)) {
			admitRequest(exchange, this::handleCompletion);
		}
		else if (path.startsWith(SERVICES_PATH_PREFIX)) {
			admitRequest(exchange, this::handlePlainRequest);
		}
		else {
			ProblemDetails.notRun(ErrorCode.UNKNOWN_SERVICE, 0).send(exchange);
		}
	}

	private void admitRequest(HttpServerExchange exchange, AuthenticatedHandler next) {
		if (this.context.serviceDirectory().configuration().isEmpty()) {
			ProblemDetails.notRun(ErrorCode.NOT_READY, RETRY_AFTER_MILLIS).send(exchange);
			return;
		}
		if (this.context.requestRegistry().size() >= this.context.settings().maximumOpenRequests()) {
			ProblemDetails.notRun(ErrorCode.OVERLOADED, RETRY_AFTER_MILLIS).send(exchange);
			return;
		}
		Optional<WorkspaceConfiguration> workspace = this.context.serviceDirectory()
			.findWorkspaceByAuthorization(exchange.getRequestHeaders().getFirst(Headers.AUTHORIZATION));
		if (workspace.isEmpty()) {
			ProblemDetails.notRun(ErrorCode.UNKNOWN_KEY, 0).send(exchange);
			return;
		}
		next.handle(exchange, workspace.get());
	}

	private void handleCompletion(HttpServerExchange exchange, WorkspaceConfiguration workspace) {
		this.bodyReader.read(exchange, this.context.serviceDirectory().maximumBodyBytes(),
				(bytes) -> submitCompletion(exchange, workspace, new String(bytes, StandardCharsets.UTF_8)));
	}

	private void submitCompletion(HttpServerExchange exchange, WorkspaceConfiguration workspace, String text) {
		Optional<CompletionRequest> body = Json.read(text, CompletionRequest.class)
			.filter(CompletionRequest::isWellFormed);
		if (body.isEmpty()) {
			ProblemDetails.notRun(ErrorCode.MALFORMED, 0).send(exchange);
			return;
		}
		Optional<ServiceConfiguration> service = findService(body.get().model(), ServiceKind.GENERATION, workspace);
		if (service.isEmpty()) {
			ProblemDetails.notRun(ErrorCode.UNKNOWN_SERVICE, 0).send(exchange);
			return;
		}
		RequestSpec spec = createCompletionSpec(exchange, workspace, service.get(), body.get());
		long requestId = this.context.requestRegistry().nextRequestId();
		submit(exchange, requestId, spec,
				new CompletionExchange(this.context, exchange, requestId, spec, workspace, body.get()));
	}

	private RequestSpec createCompletionSpec(HttpServerExchange exchange, WorkspaceConfiguration workspace,
			ServiceConfiguration service, CompletionRequest body) {
		RequestSpecBuilder builder = RequestSpec.builder(service.name(), workspace.name())
			.promptTokens(body.prompt().length() / ESTIMATED_CHARACTERS_PER_TOKEN + 1)
			.maximumOutputTokens(Optional.ofNullable(body.maxTokens()).orElse(DEFAULT_MAXIMUM_OUTPUT_TOKENS))
			.streamed(body.isStreamed())
			.receivedAtEpochMillis(System.currentTimeMillis())
			.deadlineMillis(resolveDeadlineMillis(exchange, defaultWaitMillis(workspace, service)));
		boolean longPrompt = body.prompt().length() >= MAXIMUM_PREFIX_CHARACTERS;
		if (body.promptCacheKey() != null || longPrompt) {
			int prefixCharacters = Math.min(body.prompt().length(), MAXIMUM_PREFIX_CHARACTERS);
			String prefix = Optional.ofNullable(body.promptCacheKey())
				.orElseGet(() -> body.prompt().substring(0, prefixCharacters));
			String prefixDigest = ServiceDirectory.sha256Hex(workspace.name() + "\n" + prefix);
			builder.prefix(Long.parseUnsignedLong(prefixDigest.substring(0, 15), 16),
					prefixCharacters / ESTIMATED_CHARACTERS_PER_TOKEN);
		}
		return builder.build();
	}

	private void handlePlainRequest(HttpServerExchange exchange, WorkspaceConfiguration workspace) {
		String pathAfterPrefix = exchange.getRequestPath().substring(SERVICES_PATH_PREFIX.length());
		int slash = pathAfterPrefix.indexOf('/');
		String name = (slash < 0) ? pathAfterPrefix : pathAfterPrefix.substring(0, slash);
		String query = exchange.getQueryString();
		String path = ((slash < 0) ? "/" : pathAfterPrefix.substring(slash)) + (query.isEmpty() ? "" : "?" + query);
		Optional<ServiceConfiguration> service = findService(name, ServiceKind.PLAIN, workspace);
		if (service.isEmpty()) {
			ProblemDetails.notRun(ErrorCode.UNKNOWN_SERVICE, 0).send(exchange);
			return;
		}
		this.bodyReader.read(exchange, service.get().maximumBodyBytes(),
				(bytes) -> submitPlainRequest(exchange, workspace, service.get(), path, bytes));
	}

	private void submitPlainRequest(HttpServerExchange exchange, WorkspaceConfiguration workspace,
			ServiceConfiguration service, String path, byte[] body) {
		String method = exchange.getRequestMethod().toString();
		String digestInput = method + " " + path + "\n" + ServiceDirectory.sha256Hex(body);
		RequestSpec spec = RequestSpec.builder(service.name(), workspace.name())
			.streamed(false)
			.idempotent(IDEMPOTENT_METHODS.contains(method))
			.idempotencyKey(exchange.getRequestHeaders().getFirst(IDEMPOTENCY_KEY_HEADER))
			.bodyDigest(ServiceDirectory.sha256Hex(digestInput))
			.receivedAtEpochMillis(System.currentTimeMillis())
			.deadlineMillis(resolveDeadlineMillis(exchange, DEFAULT_PLAIN_WAIT_MILLIS))
			.build();
		long requestId = this.context.requestRegistry().nextRequestId();
		submit(exchange, requestId, spec, new PlainExchange(this.context, exchange, requestId, spec, path,
				new String(body, StandardCharsets.UTF_8)));
	}

	private void submit(HttpServerExchange exchange, long requestId, RequestSpec spec, CallerRequest request) {
		exchange.dispatch(SameThreadExecutor.INSTANCE, () -> {
			this.context.requestRegistry().add(requestId, request);
			this.disconnectDetector.trackRequest(exchange, requestId);
			this.context.coreLoop().post(new Event.RequestArrived(requestId, spec));
		});
	}

	private Optional<ServiceConfiguration> findService(String name, ServiceKind kind,
			WorkspaceConfiguration workspace) {
		return this.context.serviceDirectory()
			.findService(name)
			.filter((service) -> service.kind() == kind && workspace.services().contains(service.name()));
	}

	private long defaultWaitMillis(WorkspaceConfiguration workspace, ServiceConfiguration service) {
		boolean interactive = workspace.workClass() == WorkClass.INTERACTIVE;
		return interactive ? service.firstTokenTargetMillis() : DEFAULT_DEADLINE_CLASS_WAIT_MILLIS;
	}

	private long resolveDeadlineMillis(HttpServerExchange exchange, long defaultMillis) {
		String header = exchange.getRequestHeaders().getFirst(DEADLINE_HEADER);
		if (header == null || !header.matches("\\d{1,9}")) {
			return defaultMillis;
		}
		return Math.min(Long.parseLong(header), MAXIMUM_WAIT_MILLIS);
	}

	@FunctionalInterface
	private interface AuthenticatedHandler {

		void handle(HttpServerExchange exchange, WorkspaceConfiguration workspace);

	}

}
