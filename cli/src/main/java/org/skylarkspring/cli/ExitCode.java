package org.skylarkspring.cli;

/**
 * Exit codes of the command-line tool.
 */
public enum ExitCode {

	/** The command succeeded. */
	DONE(0),

	/**
	 * The command was refused or could not be sent, or the configuration files are
	 * invalid; nothing was changed.
	 */
	REFUSED(1),

	/** The command line is invalid. */
	USAGE(2),

	/**
	 * It is unknown whether the command took effect, for example because the instance did
	 * not respond in time.
	 */
	UNKNOWN(3);

	private final int number;

	ExitCode(int number) {
		this.number = number;
	}

	/**
	 * Returns the exit status of the process.
	 * @return a number from 0 to 3
	 */
	public int number() {
		return this.number;
	}

}
