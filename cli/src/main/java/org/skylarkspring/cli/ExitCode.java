package org.skylarkspring.cli;

/**
 * Exit codes of the command line.
 */
public enum ExitCode {

	/** The command did what was asked. */
	DONE(0),

	/** The order was refused or the files have faults; nothing has changed. */
	REFUSED(1),

	/** The command line has faults. */
	USAGE(2),

	/** The instance was not reached, or it is unknown whether the order took effect. */
	UNKNOWN(3);

	private final int number;

	ExitCode(int number) {
		this.number = number;
	}

	/**
	 * Returns the number given to the shell.
	 * @return a number from 0 to 3
	 */
	public int number() {
		return this.number;
	}

}
