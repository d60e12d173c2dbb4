package org.skylarkspring.core.config;

/**
 * A configuration file that was read.
 *
 * @param name name shown in faults
 * @param text content of the file
 */
public record ConfigurationFile(String name, String text) {
}
