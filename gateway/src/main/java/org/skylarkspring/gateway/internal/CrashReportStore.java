package org.skylarkspring.gateway.internal;

import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import com.google.gson.JsonParseException;

import org.skylarkspring.gateway.model.ObjectChange;
import org.skylarkspring.gateway.model.ObjectKind;
import org.skylarkspring.gateway.model.StoreResult;
import org.skylarkspring.gateway.model.StoredObject;
import org.skylarkspring.gateway.port.ObjectStore;

/**
 * Keeps the crash reports of all instances in the platform's store. Repeats writes that
 * failed, and writes the reports of this instance again if a store that has returned from
 * an older copy lacks them.
 */
final class CrashReportStore implements ObjectInformer.Listener {

	private static final long WRITE_RETRY_DELAY_MILLIS = 1_000;

	/** Number of own reports at which those that were removed meanwhile are forgotten. */
	private static final int MAXIMUM_OWN_REPORTS = 1_000;

	private final GatewayContext context;

	private final ObjectStore store;

	private final Receiver receiver;

	private final ReappearanceGrace grace;

	private final InvalidObjectLog invalidObjects;

	/** Names of all reports that are in the store or are being written to it. */
	private final Set<String> known = new HashSet<>();

	/** Names of the reports that are being written to the store. */
	private final Set<String> unwritten = new HashSet<>();

	/** Contents of the reports of this instance that the store has confirmed, by name. */
	private final Map<String, String> ownReports = new HashMap<>();

	/** Era of the last list, -1 before the first one. */
	private long era = -1;

	/** Whether the store has returned from a copy since the last list. */
	private boolean returnedFromCopy;

	CrashReportStore(GatewayContext context, ObjectStore store, Receiver receiver) {
		this.context = context;
		this.store = store;
		this.receiver = receiver;
		this.grace = new ReappearanceGrace(context.scheduler, (name) -> {
			forget(name);
			this.receiver.onReportsChanged();
		});
		this.invalidObjects = new InvalidObjectLog(context.log, context.metrics, ObjectKind.PROMPT_CRASHES);
	}

	/**
	 * Writes a report of this instance, again until it is stored or removed.
	 * @param name name of the object
	 * @param content the report as JSON text
	 */
	void write(String name, String content) {
		this.known.add(name);
		this.unwritten.add(name);
		this.store.write(ObjectKind.PROMPT_CRASHES, name, content, (result) -> {
			if (result instanceof StoreResult.Written) {
				this.unwritten.remove(name);
				rememberOwnReport(name, content);
				return;
			}
			this.context.log.logStateChange("crash report could not be stored, trying again",
					Map.of("name", name, "result", String.valueOf(result)));
			this.context.scheduler.schedule(WRITE_RETRY_DELAY_MILLIS, () -> retryWrite(name, content));
		});
	}

	private void rememberOwnReport(String name, String content) {
		if (this.ownReports.size() >= MAXIMUM_OWN_REPORTS) {
			this.ownReports.keySet().retainAll(this.known);
		}
		this.ownReports.put(name, content);
	}

	private void retryWrite(String name, String content) {
		if (this.known.contains(name)) {
			write(name, content);
		}
		else {
			this.unwritten.remove(name);
		}
	}

	/**
	 * Replaces a report of any instance. Not repeated if it fails.
	 * @param name name of the object
	 * @param content the report as JSON text
	 */
	void replace(String name, String content) {
		this.ownReports.computeIfPresent(name, (ownName, former) -> content);
		this.store.write(ObjectKind.PROMPT_CRASHES, name, content, (result) -> this.context.log
			.logStateChange("crash report reduced", Map.of("name", name, "result", result.getClass().getSimpleName())));
	}

	/**
	 * Removes a report of any instance.
	 * @param name name of the object
	 */
	void remove(String name) {
		this.known.remove(name);
		this.ownReports.remove(name);
		this.store.remove(ObjectKind.PROMPT_CRASHES, name, (result) -> this.context.log
			.logStateChange("crash report removed", Map.of("name", name, "result", result.getClass().getSimpleName())));
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
		Set<String> stored = this.known.stream()
			.filter((name) -> !this.unwritten.contains(name))
			.collect(Collectors.toSet());
		// Reports that are missing for another reason were removed on purpose.
		this.grace.onListed(stored, listed, this.returnedFromCopy);
		this.returnedFromCopy = false;
		all.forEach(this::receive);
		this.receiver.onReportsChanged();
	}

	private void writeLostReports(Set<String> listed) {
		this.ownReports.keySet().retainAll(this.known);
		Map<String, String> lost = this.ownReports.entrySet()
			.stream()
			.filter((report) -> !listed.contains(report.getKey()))
			.collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue));
		if (!lost.isEmpty()) {
			this.context.log.logStateChange("store has lost crash reports, writing them again",
					Map.of("count", lost.size(), "era", this.era));
			lost.forEach(this::write);
		}
	}

	@Override
	public void onChanged(ObjectChange change) {
		String name = change.object().name();
		this.grace.onChanged(name);
		if (change.deleted()) {
			this.invalidObjects.forget(name);
			forget(name);
		}
		else {
			receive(change.object());
		}
		this.receiver.onReportsChanged();
	}

	// A list may lack a report that was written a moment ago, so that this is not final.
	private void forget(String name) {
		this.known.remove(name);
		this.receiver.onReportRemoved(name);
	}

	private void receive(StoredObject object) {
		try {
			if (this.receiver.onReport(object)) {
				this.invalidObjects.forget(object.name());
				this.known.add(object.name());
			}
			else {
				this.invalidObjects.recordInvalid(object, "fields missing or not those of the name");
			}
		}
		catch (JsonParseException ex) {
			this.invalidObjects.recordInvalid(object, String.valueOf(ex));
		}
	}

	/**
	 * Receives the reports of all instances.
	 */
	interface Receiver {

		/**
		 * Receives a report that is new, has changed or is listed again.
		 * @param object the report
		 * @return {@code false} if it is invalid
		 * @throws JsonParseException if it cannot be decoded
		 */
		boolean onReport(StoredObject object);

		/**
		 * Handles the removal of a report.
		 * @param name name of the object
		 */
		void onReportRemoved(String name);

		/** Called after each batch of changes. */
		void onReportsChanged();

	}

}
