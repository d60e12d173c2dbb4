package org.skylarkspring.cli;

/**
 * Entry point of the operators' command-line tool.
 */
public final class CliMain {

	private CliMain() {
	}

	/**
	 * Runs one command and exits with its {@link ExitCode}.
	 * @param arguments command, its arguments and flags
	 */
	public static void main(String[] arguments) {
		System.setProperty("skylarkspring.log.format", "TEXT");
		ExitCode code = new CommandLineTool(System.getenv(), System.out, System.err).run(arguments);
		System.exit(code.number());
	}

}
