package org.skylarkspring.core.config;

/**
 * A fault found in a configuration file.
 *
 * @param file name of the file
 * @param line line of the fault, 0 if it concerns the whole file
 * @param path place within the file, such as {@code $.pools[0].warmupMillis}
 * @param message what is wrong
 * @param remedy what to do about it
 */
public record ConfigurationError(String file, int line, String path, String message, String remedy) {

	@Override
	public String toString() {
		return this.file + ":" + this.line + " " + this.path + ": " + this.message + "; " + this.remedy;
	}

}
