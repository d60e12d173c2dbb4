package org.skylarkspring.core.config;

/**
 * An error in a configuration file.
 *
 * @param file name of the file
 * @param line line of the error, starting at 1; 0 if it concerns the whole file
 * @param path JSON path of the error, such as {@code $.pools[0].warmupMillis}
 * @param message description of the error
 * @param remedy how to correct the error
 */
public record ConfigurationError(String file, int line, String path, String message, String remedy) {

	@Override
	public String toString() {
		return this.file + ":" + this.line + " " + this.path + ": " + this.message + "; " + this.remedy;
	}

}
