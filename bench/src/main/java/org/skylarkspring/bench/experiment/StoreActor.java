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
public final class StoreActor {

	private static final long LATENCY_MICROS = 3 * VirtualTime.MILLI;

	private static final long CALL_TIMEOUT_MICROS = 2_000 * VirtualTime.MILLI;

	private final VirtualTime time;

	private final Map<String, Versioned> objects = new HashMap<>();

	private Mode mode = Mode.SOUND;

	private long lastVersion;

	private long calls;

	StoreActor(VirtualTime time) {
		this.time = time;
	}

	/**
	 * Switches a fault on or off.
	 * @param newMode the new mode
	 */
	public void mode(Mode newMode) {
		this.mode = newMode;
	}

	/**
	 * Returns the number of calls so far.
	 * @return number of calls
	 */
	public long calls() {
		return this.calls;
	}

	/**
	 * Returns an object as the store holds it.
	 * @param key name of the object
	 * @return the object, {@code null} if there is none
	 */
	public StoredObject peek(String key) {
		Versioned object = this.objects.get(key);
		return (object != null) ? object.value() : null;
	}

	void write(String key, long expectedVersion, StoredObject value, Consumer<StoreResponse> answer) {
		this.calls++;
		if (this.mode == Mode.OUTAGE) {
			this.time.after(LATENCY_MICROS, () -> answer.accept(new StoreResponse.Unavailable()));
			return;
		}
		Mode current = this.mode;
		this.time.after(LATENCY_MICROS / 2, () -> {
			StoreResponse result = apply(key, expectedVersion, value);
			reply(current, result, answer);
		});
	}

	void read(String key, Consumer<StoreResponse> answer) {
		this.calls++;
		if (this.mode == Mode.OUTAGE) {
			this.time.after(LATENCY_MICROS, () -> answer.accept(new StoreResponse.Unavailable()));
			return;
		}
		this.time.after(LATENCY_MICROS, () -> answer.accept(found(key)));
	}

	private void reply(Mode current, StoreResponse result, Consumer<StoreResponse> answer) {
		if (current == Mode.ANSWERS_LOST) {
			this.time.after(CALL_TIMEOUT_MICROS, () -> answer.accept(new StoreResponse.ResponseLost()));
			return;
		}
		this.time.after(LATENCY_MICROS / 2, () -> answer.accept(result));
	}

	private StoreResponse apply(String key, long expectedVersion, StoredObject value) {
		Versioned current = this.objects.get(key);
		long version = (current != null) ? current.version() : 0;
		if (version != expectedVersion) {
			return found(key);
		}
		this.lastVersion++;
		this.objects.put(key, new Versioned(this.lastVersion, value));
		return new StoreResponse.Written(this.lastVersion);
	}

	private StoreResponse found(String key) {
		Versioned current = this.objects.get(key);
		return (current != null) ? new StoreResponse.Found(current.version(), current.value())
				: new StoreResponse.NotFound();
	}

	/**
	 * What the store does at present.
	 */
	public enum Mode {

		/** Everything works. */
		SOUND,

		/** Every call is refused. */
		OUTAGE,

		/** Writes take effect, but their answers are lost. */
		ANSWERS_LOST

	}

	private record Versioned(long version, StoredObject value) {
	}

}
