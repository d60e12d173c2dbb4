package org.skylarkspring.core.config;

/**
 * The name and content of a configuration file.
 *
 * @param name file name shown in error messages
 * @param text text content of the file
 */
public record ConfigurationFile(String name, String text) {
}
