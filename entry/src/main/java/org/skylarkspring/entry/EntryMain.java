package org.skylarkspring.entry;

import java.util.List;

/**
 * Starts an entry instance as a process. Exits with 0 after a graceful shutdown, with 2
 * if the settings have faults and with 1 if the instance could not start.
 */
public final class EntryMain {

	private static final int EXIT_INVALID_SETTINGS = 2;

	private static final int EXIT_START_FAILED = 1;

	private EntryMain() {
	}

	/**
	 * Runs the entry instance until it is told to stop.
	 * @param arguments flags, see {@link EntrySettings}
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
		Thread stopper = new Thread(() -> shutdownAndHalt(instance), "shutdown");
		Runtime.getRuntime().addShutdownHook(stopper);
		instance.awaitStopped();
	}

	// The default exit code after a signal would say that the process was killed.
	private static void shutdownAndHalt(EntryInstance instance) {
		instance.shutdownAndWait();
		Runtime.getRuntime().halt(0);
	}

	private static void printErrors(List<String> faults) {
		System.err.println("skylarkspring: the settings have " + faults.size() + " fault(s):");
		faults.forEach((fault) -> System.err.println("  " + fault));
	}

}
