package org.skylarkspring.bench.experiment;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

import org.skylarkspring.core.model.StoreResponse;
import org.skylarkspring.core.model.StoredObject;

/**
 * The platform's store on the virtual clock: conditional writes, outages, slowness and
 * lost answers.
 */
public final class SimulatedStore {

	private static final long ROUND_TRIP_MICROS = 3 * VirtualClock.MICROS_PER_MILLI;

	private static final long CALL_TIMEOUT_MICROS = 2_000 * VirtualClock.MICROS_PER_MILLI;

	private final VirtualClock clock;

	private final Map<String, VersionedObject> objects = new HashMap<>();

	private Mode mode = Mode.AVAILABLE;

	private long lastVersion;

	private long callCount;

	SimulatedStore(VirtualClock clock) {
		this.clock = clock;
	}

	/**
	 * Switches a fault on or off.
	 * @param newMode the new mode
	 */
	public void setMode(Mode newMode) {
		this.mode = newMode;
	}

	/**
	 * Returns the number of calls so far.
	 * @return number of calls
	 */
	public long callCount() {
		return this.callCount;
	}

	/**
	 * Returns an object as the store holds it.
	 * @param key name of the object
	 * @return the object, {@code null} if there is none
	 */
	public StoredObject peek(String key) {
		VersionedObject object = this.objects.get(key);
		return (object != null) ? object.value() : null;
	}

	void write(String key, long expectedVersion, StoredObject value, Consumer<StoreResponse> answer) {
		this.callCount++;
		if (this.mode == Mode.OUTAGE) {
			this.clock.schedule(ROUND_TRIP_MICROS, () -> answer.accept(new StoreResponse.Unavailable()));
			return;
		}
		Mode current = this.mode;
		this.clock.schedule(ROUND_TRIP_MICROS / 2, () -> {
			StoreResponse result = applyWrite(key, expectedVersion, value);
			respond(current, result, answer);
		});
	}

	void read(String key, Consumer<StoreResponse> answer) {
		this.callCount++;
		if (this.mode == Mode.OUTAGE) {
			this.clock.schedule(ROUND_TRIP_MICROS, () -> answer.accept(new StoreResponse.Unavailable()));
			return;
		}
		this.clock.schedule(ROUND_TRIP_MICROS, () -> answer.accept(currentObject(key)));
	}

	private void respond(Mode current, StoreResponse result, Consumer<StoreResponse> answer) {
		if (current == Mode.RESPONSES_LOST) {
			this.clock.schedule(CALL_TIMEOUT_MICROS, () -> answer.accept(new StoreResponse.ResponseLost()));
			return;
		}
		this.clock.schedule(ROUND_TRIP_MICROS / 2, () -> answer.accept(result));
	}

	private StoreResponse applyWrite(String key, long expectedVersion, StoredObject value) {
		VersionedObject current = this.objects.get(key);
		long version = (current != null) ? current.version() : 0;
		if (version != expectedVersion) {
			return currentObject(key);
		}
		this.lastVersion++;
		this.objects.put(key, new VersionedObject(this.lastVersion, value));
		return new StoreResponse.Written(this.lastVersion);
	}

	private StoreResponse currentObject(String key) {
		VersionedObject current = this.objects.get(key);
		return (current != null) ? new StoreResponse.Found(current.version(), current.value())
				: new StoreResponse.NotFound();
	}

	/**
	 * What the store does at present.
	 */
	public enum Mode {

		/** Everything works. */
		AVAILABLE,

		/** Every call is refused. */
		OUTAGE,

		/** Writes take effect, but their answers are lost. */
		RESPONSES_LOST

	}

	private record VersionedObject(long version, StoredObject value) {
	}

}
