package org.skylarkspring.entry;

import java.util.List;

/**
 * Command-line entry point that runs an entry instance as a process. The exit code is 0
 * after a graceful shutdown, 1 if the instance could not start and 2 if the settings are
 * invalid.
 */
public final class EntryMain {

	private static final int EXIT_INVALID_SETTINGS = 2;

	private static final int EXIT_START_FAILED = 1;

	private EntryMain() {
	}

	/**
	 * Runs the entry instance until the process is asked to terminate.
	 * @param arguments command-line flags, see {@link EntrySettingsReader}
	 * @throws InterruptedException if the main thread is interrupted
	 */
	public static void main(String[] arguments) throws InterruptedException {
		SettingsResult result = EntrySettingsReader.read(arguments, System.getenv());
		if (result instanceof SettingsResult.HelpRequested help) {
			System.out.println(help.text());
			return;
		}
		if (result instanceof SettingsResult.Rejected rejected) {
			printErrors(rejected.errors());
			System.exit(EXIT_INVALID_SETTINGS);
		}
		startAndAwaitStop(((SettingsResult.Accepted) result).settings());
	}

	private static void startAndAwaitStop(EntrySettings settings) throws InterruptedException {
		System.setProperty("skylarkspring.log.format", settings.logFormat());
		EntryInstance instance = new EntryInstance(settings);
		try {
			instance.start();
		}
		catch (RuntimeException ex) {
			System.err.println("skylarkspring: cannot start: " + ex.getMessage());
			System.exit(EXIT_START_FAILED);
		}
		Thread shutdownHook = new Thread(() -> shutdownAndHalt(instance), "shutdown");
		Runtime.getRuntime().addShutdownHook(shutdownHook);
		instance.awaitStopped();
	}

	// Halts with code 0 because the JVM's default exit code after a signal would report
	// that the process was killed.
	private static void shutdownAndHalt(EntryInstance instance) {
		instance.shutdownAndWait();
		Runtime.getRuntime().halt(0);
	}

	private static void printErrors(List<String> errors) {
		System.err.println("skylarkspring: invalid settings, " + errors.size() + " error(s):");
		errors.forEach((error) -> System.err.println("  " + error));
	}

}
