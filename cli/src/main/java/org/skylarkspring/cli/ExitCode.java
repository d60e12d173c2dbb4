package org.skylarkspring.cli;

/**
 * Exit codes of the command-line tool.
 */
public enum ExitCode {

	/** The command succeeded. */
	DONE(0),

	/**
	 * The command was refused or the configuration files are invalid; nothing was
	 * changed.
	 */
	REFUSED(1),

	/** The command line is invalid. */
	USAGE(2),

	/**
	 * The instance did not respond, or it is unknown whether the command took effect.
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
