package org.skylarkspring.entry;

import java.util.List;

/**
 * Starts an entry instance as a process. Exits with 0 after a graceful shutdown, with 2
 * if the settings have faults and with 1 if the instance could not start.
 */
public final class EntryMain {

	private static final int EXIT_SETTINGS = 2;

	private static final int EXIT_START = 1;

	private EntryMain() {
	}

	/**
	 * Runs the entry instance until it is told to stop.
	 * @param arguments flags, see {@link EntrySettings}
	 * @throws InterruptedException if the main thread is interrupted
	 */
	public static void main(String[] arguments) throws InterruptedException {
		SettingsResult result = EntrySettingsReader.read(arguments, System.getenv());
		if (result instanceof SettingsResult.Help help) {
			System.out.println(help.text());
			return;
		}
		if (result instanceof SettingsResult.Rejected rejected) {
			printFaults(rejected.faults());
			System.exit(EXIT_SETTINGS);
		}
		run(((SettingsResult.Accepted) result).settings());
	}

	private static void run(EntrySettings settings) throws InterruptedException {
		System.setProperty("skylarkspring.log.format", settings.logFormat());
		EntryInstance instance = new EntryInstance(settings);
		try {
			instance.start();
		}
		catch (RuntimeException ex) {
			System.err.println("skylarkspring: cannot start: " + ex.getMessage());
			System.exit(EXIT_START);
		}
		Thread stopper = new Thread(() -> stop(instance), "shutdown");
		Runtime.getRuntime().addShutdownHook(stopper);
		instance.awaitStopped();
	}

	// The default exit code after a signal would say that the process was killed.
	private static void stop(EntryInstance instance) {
		instance.shutdownAndWait();
		Runtime.getRuntime().halt(0);
	}

	private static void printFaults(List<String> faults) {
		System.err.println("skylarkspring: the settings have " + faults.size() + " fault(s):");
		faults.forEach((fault) -> System.err.println("  " + fault));
	}

}
