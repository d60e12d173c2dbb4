package org.skylarkspring.entry;

import java.util.Objects;

import org.skylarkspring.entry.internal.EntryRuntime;

/**
 * An entry instance, which accepts requests from callers and routes them to backend
 * servers. Usage: <pre class="code">
 * EntryInstance instance = new EntryInstance(settings);
 * instance.start();
 * ...
 * instance.shutdownAndWait();
 * </pre>
 */
public final class EntryInstance {

	private final EntryRuntime runtime;

	/**
	 * Creates an instance without starting it.
	 * @param settings the settings, not {@code null}
	 */
	public EntryInstance(EntrySettings settings) {
		Objects.requireNonNull(settings, "settings must not be null");
		this.runtime = new EntryRuntime(settings);
	}

	/**
	 * Binds the listeners and starts serving requests.
	 * @throws RuntimeException if an address cannot be bound
	 */
	public void start() {
		this.runtime.start();
	}

	/**
	 * Shuts down gracefully: rejects new requests, completes the open ones and then stops
	 * the instance. Returns when the instance has stopped.
	 */
	public void shutdownAndWait() {
		this.runtime.shutdownAndWait();
	}

	/**
	 * Waits until the instance has stopped.
	 * @throws InterruptedException if the thread is interrupted while waiting
	 */
	public void awaitStopped() throws InterruptedException {
		this.runtime.awaitStopped();
	}

}
