package org.skylarkspring.gateway.internal;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.ThreadLocalRandom;
import java.util.stream.Collectors;

import com.google.gson.Gson;
import com.google.gson.JsonParseException;

import org.skylarkspring.gateway.model.ObjectChange;
import org.skylarkspring.gateway.model.ObjectKind;
import org.skylarkspring.gateway.model.PromptCrash;
import org.skylarkspring.gateway.model.StoreResult;
import org.skylarkspring.gateway.model.StoredObject;
import org.skylarkspring.gateway.policy.PromptCrashTable;
import org.skylarkspring.gateway.port.ObjectStore;

/**
 * Keeps prompts away from the servers that would crash on them. The reports of crashes
 * are objects in the platform's store, so that all instances refuse the same prompts and
 * a restarted one knows them.
 */
final class PromptQuarantine implements ObjectInformer.Listener {

	private static final String REFUSAL_REASON = "servers have crashed on a part of the prompt";

	private static final long MAXIMUM_RETENTION_JITTER_MILLIS = 60_000;

	private static final long WRITE_RETRY_DELAY_MILLIS = 1_000;

	private final Gson gson = new Gson();

	private final PromptCrashTable table = new PromptCrashTable(
			ThreadLocalRandom.current().nextLong(MAXIMUM_RETENTION_JITTER_MILLIS));

	private final GatewayContext context;

	private final ObjectStore store;

	private final ActiveRequestRegistry activeRequests;

	/** Names of the reports that are being written to the store. */
	private final Set<String> unwritten = new HashSet<>();

	private final ReappearanceGrace grace;

	private final InvalidObjectLog invalidObjects;

	/** Reports of this instance that the store has confirmed, by name. */
	private final Map<String, PromptCrash> ownReports = new HashMap<>();

	/** Era of the last list, -1 before the first one. */
	private long era = -1;

	/** Whether the store has returned from a copy since the last list. */
	private boolean returnedFromCopy;

	private Map<String, Set<String>> loggedQuarantines = Map.of();

	PromptQuarantine(GatewayContext context, ObjectStore store, ActiveRequestRegistry activeRequests) {
		this.context = context;
		this.store = store;
		this.activeRequests = activeRequests;
		this.grace = new ReappearanceGrace(context.scheduler, this::removeLost);
		this.invalidObjects = new InvalidObjectLog(context.log, context.metrics, ObjectKind.PROMPT_CRASHES);
	}

	/**
	 * Ends a request whose prompt is quarantined.
	 * @param request the request
	 * @return {@code true} if the request has been ended
	 */
	boolean endIfQuarantined(ActiveRequest request) {
		List<String> partIds = request.head.sharedPromptPartIds();
		if (partIds.isEmpty() || !this.table.isQuarantined(partIds)) {
			return false;
		}
		this.context.metrics.recordDecision("quarantined prompt refused");
		this.activeRequests.end(request, request.toRetryContext().decideWithoutRetry(), REFUSAL_REASON,
				this.table.remainingQuarantineMillis(partIds, this.context.scheduler.nowMillis()));
		return true;
	}

	/**
	 * Returns whether a request that has failed should not be retried, because it may
	 * crash another server.
	 * @param request the request
	 * @return {@code true} if servers have crashed on a part of its prompt
	 */
	boolean isSuspect(ActiveRequest request) {
		return this.table.isSuspect(request.head.sharedPromptPartIds());
	}

	/**
	 * Reports that a server was lost as it began to respond to a prompt.
	 * @param attempt the attempt on that server
	 */
	void reportCrash(ServerAttempt attempt) {
		ActiveRequest request = attempt.activeRequest;
		List<String> sharedPartIds = request.head.sharedPromptPartIds();
		List<PromptCrash> crashes = this.table.suspectPartIds(sharedPartIds, this.context.scheduler.nowMillis())
			.stream()
			.map((partId) -> new PromptCrash(partId, attempt.server.registration.incarnation(), sharedPartIds,
					request.id(), this.context.settings.instanceId()))
			.filter(this::add)
			.toList();
		if (crashes.isEmpty()) {
			return;
		}
		this.context.metrics.recordDecision("prompt crash reported");
		this.context.log.logRequest(request.id(), "server lost at start of response, prompt suspected",
				Map.of("server", attempt.server.registration.id(), "prompt-parts", String.join(",", sharedPartIds),
						"suspected", String.join(",", crashes.stream().map(PromptCrash::partId).toList())));
		crashes.forEach(this::write);
		applyQuarantines();
	}

	/**
	 * Records that a server has responded to a prompt, which clears its parts of
	 * suspicion.
	 * @param request the request
	 */
	void recordSuccess(ActiveRequest request) {
		List<String> sharedPartIds = request.head.sharedPromptPartIds();
		List<PromptCrash> contradicted = this.table.recordSuccess(sharedPartIds, this.context.scheduler.nowMillis());
		if (!contradicted.isEmpty()) {
			this.context.log.logRequest(request.id(), "response succeeded, prompt no longer suspected",
					Map.of("prompt-parts", String.join(",", sharedPartIds), "reports", contradicted.size()));
			contradicted.forEach(this::removeFromStore);
			applyQuarantines();
		}
	}

	/** Removes expired reports. */
	void tick() {
		List<PromptCrash> expired = this.table.removeExpired(this.context.scheduler.nowMillis());
		if (!expired.isEmpty()) {
			this.ownReports.keySet().retainAll(this.table.names());
			expired.forEach(this::removeFromStore);
			applyQuarantines();
		}
	}

	@Override
	public void onEra(long listedEra) {
		this.returnedFromCopy = this.era >= 0 && listedEra > this.era;
		this.era = listedEra;
	}

	@Override
	public void onListed(List<StoredObject> all, boolean afterOutage) {
		Set<String> listed = all.stream().map(StoredObject::name).collect(Collectors.toSet());
		this.invalidObjects.retainListed(listed);
		if (this.returnedFromCopy) {
			writeLostReports(listed);
		}
		Set<String> known = this.table.names()
			.stream()
			.filter((name) -> !this.unwritten.contains(name))
			.collect(Collectors.toSet());
		// Reports that are missing for another reason were removed on purpose.
		this.grace.onListed(known, listed, this.returnedFromCopy);
		this.returnedFromCopy = false;
		all.forEach(this::addStored);
		applyQuarantines();
	}

	private void writeLostReports(Set<String> listed) {
		Set<String> known = this.table.names();
		this.ownReports.keySet().retainAll(known);
		List<PromptCrash> lost = this.ownReports.values()
			.stream()
			.filter((crash) -> !listed.contains(crash.name()))
			.toList();
		if (!lost.isEmpty()) {
			this.context.log.logStateChange("store has lost crash reports, writing them again",
					Map.of("count", lost.size(), "era", this.era));
			lost.forEach(this::write);
		}
	}

	private void removeLost(String name) {
		this.table.remove(name);
		applyQuarantines();
	}

	@Override
	public void onChanged(ObjectChange change) {
		this.grace.onChanged(change.object().name());
		if (change.deleted()) {
			this.invalidObjects.forget(change.object().name());
			this.table.remove(change.object().name());
		}
		else {
			addStored(change.object());
		}
		applyQuarantines();
	}

	private void addStored(StoredObject object) {
		decode(object).ifPresent(this::add);
	}

	private Optional<PromptCrash> decode(StoredObject object) {
		try {
			Optional<PromptCrash> crash = Optional.ofNullable(this.gson.fromJson(object.content(), PromptCrash.class))
				.filter(PromptCrash::hasRequiredFields)
				.filter((decoded) -> decoded.name().equals(object.name()));
			if (crash.isEmpty()) {
				this.invalidObjects.recordInvalid(object, "fields missing or not those of the name");
			}
			else {
				this.invalidObjects.forget(object.name());
			}
			return crash;
		}
		catch (JsonParseException ex) {
			this.invalidObjects.recordInvalid(object, String.valueOf(ex));
			return Optional.empty();
		}
	}

	private boolean add(PromptCrash crash) {
		if (this.table.isFull()) {
			this.context.log.logStateChange("too many crash reports, report ignored", Map.of("name", crash.name()));
		}
		return this.table.add(crash, this.context.scheduler.nowMillis());
	}

	private void write(PromptCrash crash) {
		this.unwritten.add(crash.name());
		this.store.write(ObjectKind.PROMPT_CRASHES, crash.name(), this.gson.toJson(crash), (result) -> {
			if (result instanceof StoreResult.Written) {
				this.unwritten.remove(crash.name());
				this.ownReports.put(crash.name(), crash);
				return;
			}
			this.context.log.logStateChange("crash report could not be stored, trying again",
					Map.of("name", crash.name(), "result", String.valueOf(result)));
			this.context.scheduler.schedule(WRITE_RETRY_DELAY_MILLIS, () -> retryWrite(crash));
		});
	}

	private void retryWrite(PromptCrash crash) {
		if (this.table.names().contains(crash.name())) {
			write(crash);
		}
		else {
			this.unwritten.remove(crash.name());
		}
	}

	private void removeFromStore(PromptCrash crash) {
		this.store.remove(ObjectKind.PROMPT_CRASHES, crash.name(),
				(result) -> this.context.log.logStateChange("crash report removed",
						Map.of("name", crash.name(), "result", result.getClass().getSimpleName())));
	}

	// A request that is waiting on a server would crash it as soon as it is its turn.
	private void applyQuarantines() {
		Map<String, Set<String>> quarantines = this.table.quarantines();
		if (quarantines.equals(this.loggedQuarantines)) {
			return;
		}
		this.loggedQuarantines = quarantines;
		this.context.metrics.setQuarantinedPromptParts(quarantines.size());
		this.context.log.logStateChange("quarantined prompt parts updated",
				Map.of("parts", String.valueOf(quarantines)));
		List.copyOf(this.activeRequests.requests())
			.stream()
			.filter((request) -> !request.finished && !request.isCommitted())
			.forEach(this::endIfQuarantined);
	}

}
