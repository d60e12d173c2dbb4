package org.skylarkspring.entry;

import java.util.Objects;

import org.skylarkspring.entry.internal.EntryRuntime;

/**
 * One entry instance: <pre class="code">
 * EntryInstance instance = new EntryInstance(settings);
 * instance.start();
 * ...
 * instance.shutdownAndWait();
 * </pre>
 */
public final class EntryInstance {

	private final EntryRuntime runtime;

	/**
	 * Creates an instance that is not started yet.
	 * @param settings the settings, not {@code null}
	 */
	public EntryInstance(EntrySettings settings) {
		Objects.requireNonNull(settings, "settings must not be null");
		this.runtime = new EntryRuntime(settings);
	}

	/**
	 * Binds the listeners and starts to serve.
	 * @throws RuntimeException if an address cannot be bound
	 */
	public void start() {
		this.runtime.start();
	}

	/**
	 * Stops taking new requests, finishes all open ones and stops.
	 */
	public void shutdownAndWait() {
		this.runtime.shutdownAndWait();
	}

	/**
	 * Waits until the instance has stopped.
	 * @throws InterruptedException if the thread is interrupted
	 */
	public void awaitStopped() throws InterruptedException {
		this.runtime.awaitStopped();
	}

}
