package org.skylarkspring.bench.experiment;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

import org.skylarkspring.core.model.StoreResponse;
import org.skylarkspring.core.model.StoredObject;

/**
 * Simulates the platform's object store on the virtual clock, with conditional writes,
 * latency, outages and lost responses.
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
	 * Sets the behaviour of the store for new calls.
	 * @param newMode the new mode
	 */
	public void setMode(Mode newMode) {
		this.mode = newMode;
	}

	/**
	 * Returns the number of reads and writes so far.
	 * @return number of calls
	 */
	public long callCount() {
		return this.callCount;
	}

	/**
	 * Returns a stored object without a simulated call.
	 * @param key key of the object
	 * @return the object, {@code null} if there is none
	 */
	public StoredObject peek(String key) {
		VersionedObject object = this.objects.get(key);
		return (object != null) ? object.value() : null;
	}

	void write(String key, long expectedVersion, StoredObject value, Consumer<StoreResponse> callback) {
		this.callCount++;
		if (this.mode == Mode.OUTAGE) {
			this.clock.schedule(ROUND_TRIP_MICROS, () -> callback.accept(new StoreResponse.Unavailable()));
			return;
		}
		Mode callMode = this.mode;
		this.clock.schedule(ROUND_TRIP_MICROS / 2, () -> {
			StoreResponse result = applyWrite(key, expectedVersion, value);
			respond(callMode, result, callback);
		});
	}

	void read(String key, Consumer<StoreResponse> callback) {
		this.callCount++;
		if (this.mode == Mode.OUTAGE) {
			this.clock.schedule(ROUND_TRIP_MICROS, () -> callback.accept(new StoreResponse.Unavailable()));
			return;
		}
		this.clock.schedule(ROUND_TRIP_MICROS, () -> callback.accept(currentObject(key)));
	}

	private void respond(Mode callMode, StoreResponse result, Consumer<StoreResponse> callback) {
		if (callMode == Mode.RESPONSES_LOST) {
			this.clock.schedule(CALL_TIMEOUT_MICROS, () -> callback.accept(new StoreResponse.ResponseLost()));
			return;
		}
		this.clock.schedule(ROUND_TRIP_MICROS / 2, () -> callback.accept(result));
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
	 * Behaviour of the store.
	 */
	public enum Mode {

		/** Calls are processed normally. */
		AVAILABLE,

		/** Every call fails because the store is unavailable. */
		OUTAGE,

		/** Writes take effect, but their responses are lost. */
		RESPONSES_LOST

	}

	private record VersionedObject(long version, StoredObject value) {
	}

}
