package org.skylarkspring.gateway.internal;

import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;

import org.skylarkspring.gateway.model.DispatchHead;
import org.skylarkspring.gateway.model.EngineSpec;
import org.skylarkspring.gateway.model.GenerationResumePoint;

/**
 * Creates and starts the attempts to serve requests on servers, and reserves the memory
 * that they need there.
 */
final class AttemptSender {

	/**
	 * Engine priority of the most urgent route. Lower values are more urgent and are
	 * reserved.
	 */
	private static final int HIGHEST_ENGINE_PRIORITY = 4;

	private static final int LOWEST_ENGINE_PRIORITY = 9;

	private final GatewayContext context;

	private final ServerSelector serverSelector;

	private Runnable dispatchListener = () -> {
	};

	AttemptSender(GatewayContext context, ServerSelector serverSelector) {
		this.context = context;
		this.serverSelector = serverSelector;
	}

	/**
	 * Sets the listener that is called when a generation has been assigned to a server.
	 * @param listener the listener
	 */
	void setDispatchListener(Runnable listener) {
		this.dispatchListener = listener;
	}

	/**
	 * Creates an attempt and reserves memory for it and for its backup.
	 * @param dispatcher receives the outcome of the attempt
	 * @param request the request
	 * @param entry the server
	 * @param resumePoint point from which the generation resumes, empty for a new one
	 * @return the attempt
	 */
	ServerAttempt createAttempt(RequestDispatcher dispatcher, ActiveRequest request, ServerEntry entry,
			Optional<GenerationResumePoint> resumePoint) {
		Optional<ServerEntry> backup = selectBackup(request, entry);
		Optional<String> resumeAfter = (resumePoint.isEmpty() && request.eventOrder.lastDeliveredId().isPresent())
				? request.eventOrder.lastDeliveredId() : Optional.empty();
		long remaining = Math.max(1, request.deadlineMillis - this.context.scheduler.nowMillis());
		DispatchHead head = new DispatchHead(entry.registration.id(), remaining, request.workspace,
				enginePriority(request), resumePoint, resumeAfter,
				backup.map((server) -> server.registration.address()));
		ServerAttempt attempt = new ServerAttempt(this.context, dispatcher, request, entry, head, backup);
		entry.attempts.add(attempt);
		this.context.outstandingBodies.recordSent(entry.registration, request.body.length,
				this.context.scheduler.nowMillis());
		attempt.changeReservation(request.reservedTokens);
		attempt.pendingPrefillTokens = resumePoint.isPresent() ? 0 : request.promptTokens();
		entry.pendingPrefillTokens += attempt.pendingPrefillTokens;
		return attempt;
	}

	/**
	 * Connects to the server and sends the request.
	 * @param attempt the attempt
	 */
	void start(ServerAttempt attempt) {
		ActiveRequest request = attempt.activeRequest;
		ServerEntry entry = attempt.server;
		request.sendCount++;
		request.triedServers.add(entry.registration.id());
		if (request.reservedTokens > 0) {
			this.dispatchListener.run();
		}
		if (!entry.registration.dataCentre().equals(this.context.settings.dataCentre())) {
			this.context.metrics.recordDecision("sent to another data centre");
		}
		this.context.log.logRoutineRequest(this.context.scheduler.nowMillis(), request.id(), "sent",
				Map.of("server", entry.registration.id(), "route", request.route.name(), "send", request.sendCount,
						"continued", attempt.dispatchHead.resumePoint().isPresent(), "promised-tokens",
						entry.reservedTokens, "running", entry.attempts.size() + entry.peerRunningRequests, "backup",
						attempt.dispatchHead.backupAddress().orElse(""), "duration-percent", durationPercent(entry)));
		attempt.start();
	}

	private String durationPercent(ServerEntry entry) {
		OptionalInt percent = this.context.serverPaces.durationPercent(entry.registration.id(),
				this.context.scheduler.nowMillis());
		return percent.isPresent() ? String.valueOf(percent.getAsInt()) : "";
	}

	// A generation that can be restarted needs no backup: another server repeats it.
	private Optional<ServerEntry> selectBackup(ActiveRequest request, ServerEntry entry) {
		boolean wanted = request.route.semantics().isStreaming() && !request.route.semantics().isRetryable()
				&& request.service.engine().map(EngineSpec::supportsBackup).orElse(false);
		return wanted ? this.serverSelector.selectBackup(request.toPlacementRequest(this.context.scheduler.nowMillis()),
				entry) : Optional.empty();
	}

	// Retries and continuations are not deferred.
	private OptionalInt enginePriority(ActiveRequest request) {
		if (request.service.engine().isEmpty()) {
			return OptionalInt.empty();
		}
		int deferral = (request.deferred && request.sendCount == 0) ? 1 : 0;
		return OptionalInt.of(Math.min(LOWEST_ENGINE_PRIORITY, HIGHEST_ENGINE_PRIORITY + request.priority + deferral));
	}

}
