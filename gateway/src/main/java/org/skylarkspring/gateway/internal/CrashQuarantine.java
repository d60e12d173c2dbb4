package org.skylarkspring.gateway.internal;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.function.Consumer;
import java.util.stream.Collectors;

import com.google.gson.Gson;

import org.skylarkspring.gateway.model.PromptCrash;
import org.skylarkspring.gateway.model.RequestCrashes;
import org.skylarkspring.gateway.model.RequestIdentity;
import org.skylarkspring.gateway.model.ServerIncarnation;
import org.skylarkspring.gateway.model.StoredObject;
import org.skylarkspring.gateway.policy.CrashTable;
import org.skylarkspring.gateway.port.ObjectStore;

/**
 * Keeps prompts and whole requests away from the servers that would crash on them: those
 * with a part of a prompt, or the identity of a request, on which several servers have
 * crashed are refused. The reports of crashes are objects in the platform's store, so
 * that all instances refuse the same ones and a restarted one knows them. Crashes on
 * parts of prompts are observed and reported here, those on whole requests by
 * {@link ServerCrashDetector} and {@link RequestCrashRecorder}.
 */
final class CrashQuarantine implements CrashReportStore.Receiver {

	private static final String PROMPT_REASON = "servers have crashed on a part of the prompt";

	private static final String REQUEST_REASON = "servers have crashed on this request";

	private static final long MAXIMUM_RETENTION_JITTER_MILLIS = 60_000;

	/**
	 * Time in which another instance may show that a request has succeeded there. New
	 * requests are refused at once.
	 */
	private static final long WITHDRAWAL_DELAY_MILLIS = 100;

	private final Gson gson = new Gson();

	private final CrashTable table = new CrashTable(
			ThreadLocalRandom.current().nextLong(MAXIMUM_RETENTION_JITTER_MILLIS));

	private final ServerCrashDetector crashDetector;

	private final GatewayContext context;

	private final CrashReportStore reports;

	private final RequestCrashRecorder requestCrashes;

	private final ActiveRequestRegistry activeRequests;

	private Map<String, Set<String>> loggedQuarantines = Map.of();

	CrashQuarantine(GatewayContext context, ObjectStore store, ActiveRequestRegistry activeRequests) {
		this.context = context;
		this.reports = new CrashReportStore(context, store, this);
		this.requestCrashes = new RequestCrashRecorder(context, this.table, this.reports);
		this.activeRequests = activeRequests;
		this.crashDetector = new ServerCrashDetector(context.scheduler, (address, callback) -> ConnectionProbe
			.start(context.connector, address, ServerCrashDetector.PROBE_TIMEOUT_MILLIS, callback),
				this::reportRequestCrash);
		activeRequests.setCancelListener(this::recordCancellation);
	}

	/**
	 * Returns the listener of the crash reports in the store.
	 * @return the listener
	 */
	ObjectInformer.Listener storeListener() {
		return this.reports;
	}

	/**
	 * Ends a request that is quarantined or whose prompt is.
	 * @param request the request
	 * @return {@code true} if the request has been ended
	 */
	boolean endIfQuarantined(ActiveRequest request) {
		return endIfPromptQuarantined(request) || endIfRequestQuarantined(request);
	}

	private boolean endIfPromptQuarantined(ActiveRequest request) {
		return endIfQuarantined(request, request.head.sharedPromptPartIds(), "quarantined prompt refused",
				PROMPT_REASON);
	}

	private boolean endIfRequestQuarantined(ActiveRequest request) {
		return !this.requestCrashes.isEmpty()
				&& endIfQuarantined(request, request.identityKeys(), "quarantined request refused", REQUEST_REASON);
	}

	private boolean endIfQuarantined(ActiveRequest request, List<String> keys, String decision, String reason) {
		if (!this.table.isQuarantined(keys)) {
			return false;
		}
		this.context.metrics.recordDecision(decision);
		this.activeRequests.end(request, request.toRetryContext().decideWithoutRetry(), reason,
				this.table.remainingQuarantineMillis(keys, this.context.scheduler.nowMillis()));
		return true;
	}

	/**
	 * Returns whether the request of a lost attempt should not be retried, because it may
	 * crash another server.
	 * @param attempt the attempt
	 * @return {@code true} if servers have crashed on the request or a part of its prompt
	 */
	boolean isSuspect(ServerAttempt attempt) {
		ActiveRequest request = attempt.activeRequest;
		return (attempt.isLostAtStart() && this.table.isSuspect(request.head.sharedPromptPartIds()))
				|| (attempt.isConnectionLost() && isSuspect(request.identityKeys()));
	}

	private boolean isSuspect(List<String> requestKeys) {
		return this.table.suspectKeys(requestKeys, this.context.scheduler.nowMillis())
			.stream()
			.anyMatch((key) -> this.table.crashCount(key)
					+ this.crashDetector.unconfirmedLosses(key) >= CrashTable.SUSPECT_CRASHES);
	}

	/**
	 * Records that an attempt failed, which is a sign of a crash if its server ended the
	 * connection.
	 * @param attempt the attempt
	 */
	void recordLoss(ServerAttempt attempt) {
		if (attempt.isConnectionLost()) {
			this.crashDetector.recordLoss(attempt.server.registration, attempt.activeRequest.identityKeys());
		}
		if (attempt.isLostAtStart()) {
			reportPromptCrash(attempt);
		}
	}

	private void recordCancellation(ServerAttempt attempt) {
		if (attempt.sent && attempt.server.acceptsRequests()) {
			this.crashDetector.recordAbandoned(attempt.server.registration, attempt.activeRequest.identityKeys());
		}
	}

	/**
	 * Handles that the registration of a server has ended without notice.
	 * @param incarnation the server
	 */
	void onServerRemoved(ServerIncarnation incarnation) {
		this.crashDetector.onServerRemoved(incarnation);
	}

	/**
	 * Handles that the registration of a server shows a later start.
	 * @param former the server before
	 */
	void onServerReplaced(ServerIncarnation former) {
		this.crashDetector.onServerReplaced(former);
	}

	private void reportRequestCrash(ServerIncarnation server, List<String> requestKeys) {
		this.context.outstandingBodies.recordCrash(server, this.context.scheduler.nowMillis()).ifPresent((bound) -> {
			this.context.metrics.recordDecision("bound of bodies lowered");
			this.context.log.logStateChange("limit of request bodies per server lowered after a crash",
					Map.of("server", server.serverId(), "limit-bytes", bound));
		});
		if (this.requestCrashes.reportCrash(server, requestKeys)) {
			applyQuarantines();
		}
	}

	/**
	 * Records a complete response to a request, which clears the request of suspicion.
	 * @param request the request
	 */
	void recordRequestSuccess(ActiveRequest request) {
		List<String> keys = request.identityKeys();
		List<PromptCrash> contradicted = this.table.recordSuccess(keys, this.context.scheduler.nowMillis());
		this.requestCrashes.recordSuccess(keys);
		if (!contradicted.isEmpty()) {
			this.context.log.logRequest(request.id(), "response succeeded, request no longer suspected",
					Map.of("request-keys", String.join(",", keys), "reports", contradicted.size()));
			applyQuarantines();
		}
	}

	private void reportPromptCrash(ServerAttempt attempt) {
		ActiveRequest request = attempt.activeRequest;
		List<String> sharedPartIds = request.head.sharedPromptPartIds();
		List<PromptCrash> crashes = this.table.suspectKeys(sharedPartIds, this.context.scheduler.nowMillis())
			.stream()
			.map((partId) -> new PromptCrash(partId, attempt.server.registration.incarnation(), sharedPartIds,
					request.id(), this.context.settings.instanceId()))
			.filter(this::addPromptCrash)
			.toList();
		if (crashes.isEmpty()) {
			return;
		}
		this.context.metrics.recordDecision("prompt crash reported");
		this.context.log.logRequest(request.id(), "server lost at start of response, prompt suspected",
				Map.of("server", attempt.server.registration.id(), "prompt-parts", String.join(",", sharedPartIds),
						"suspected", String.join(",", crashes.stream().map(PromptCrash::partId).toList())));
		crashes.forEach((crash) -> this.reports.write(crash.name(), this.gson.toJson(crash)));
		applyQuarantines();
	}

	/**
	 * Records that a server has responded to a prompt, which clears its parts of
	 * suspicion.
	 * @param request the request
	 */
	void recordPromptSuccess(ActiveRequest request) {
		List<String> sharedPartIds = request.head.sharedPromptPartIds();
		List<PromptCrash> contradicted = this.table.recordSuccess(sharedPartIds, this.context.scheduler.nowMillis());
		if (!contradicted.isEmpty()) {
			this.context.log.logRequest(request.id(), "response succeeded, prompt no longer suspected",
					Map.of("prompt-parts", String.join(",", sharedPartIds), "reports", contradicted.size()));
			contradicted.forEach((crash) -> this.reports.remove(crash.name()));
			applyQuarantines();
		}
	}

	/** Removes expired reports. */
	void tick() {
		long now = this.context.scheduler.nowMillis();
		this.crashDetector.tick();
		List<PromptCrash> expired = this.table.removeExpired(now);
		expired.stream()
			.filter((crash) -> !RequestIdentity.isRequestKey(crash.partId()))
			.forEach((crash) -> this.reports.remove(crash.name()));
		this.requestCrashes.removeExpired();
		if (!expired.isEmpty()) {
			applyQuarantines();
		}
	}

	@Override
	public boolean onReport(StoredObject object) {
		return RequestCrashes.isNameOfReport(object.name()) ? this.requestCrashes.onReport(object)
				: onPromptReport(object);
	}

	private boolean onPromptReport(StoredObject object) {
		Optional<PromptCrash> crash = Optional.ofNullable(this.gson.fromJson(object.content(), PromptCrash.class))
			.filter(PromptCrash::hasRequiredFields)
			.filter((decoded) -> decoded.name().equals(object.name()));
		crash.ifPresent(this::addPromptCrash);
		return crash.isPresent();
	}

	@Override
	public void onReportRemoved(String name) {
		if (RequestCrashes.isNameOfReport(name)) {
			this.requestCrashes.forget(name);
		}
		else {
			this.table.remove(name);
		}
	}

	@Override
	public void onReportsChanged() {
		applyQuarantines();
	}

	private boolean addPromptCrash(PromptCrash crash) {
		if (this.table.isFull()) {
			this.context.log.logStateChange("too many crash reports, report ignored", Map.of("name", crash.name()));
		}
		return this.table.add(crash, this.context.scheduler.nowMillis());
	}

	// A request that is waiting on a server would crash it as soon as it is its turn.
	private void applyQuarantines() {
		Map<String, Set<String>> quarantines = this.table.quarantines();
		if (quarantines.equals(this.loggedQuarantines)) {
			return;
		}
		this.loggedQuarantines = quarantines;
		Set<String> requestKeys = quarantines.keySet()
			.stream()
			.filter(RequestIdentity::isRequestKey)
			.collect(Collectors.toSet());
		this.context.metrics.setQuarantinedPromptParts(quarantines.size() - requestKeys.size());
		this.context.metrics.setQuarantinedRequests(requestKeys.size());
		this.context.log.logStateChange("quarantines updated",
				Map.of("prompt-parts",
						quarantines.entrySet()
							.stream()
							.filter((entry) -> !requestKeys.contains(entry.getKey()))
							.map(String::valueOf)
							.toList(),
						"request-keys", requestKeys));
		withdraw(this::endIfPromptQuarantined);
		if (!requestKeys.isEmpty()) {
			this.context.scheduler.schedule(WITHDRAWAL_DELAY_MILLIS, () -> withdraw(this::endIfRequestQuarantined));
		}
	}

	private void withdraw(Consumer<ActiveRequest> endIfQuarantined) {
		List.copyOf(this.activeRequests.requests())
			.stream()
			.filter((request) -> !request.finished && !request.isCommitted())
			.forEach(endIfQuarantined);
	}

}
