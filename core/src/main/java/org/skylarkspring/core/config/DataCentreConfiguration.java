package org.skylarkspring.core.config;

/**
 * Configuration of a data centre.
 *
 * @param name unique name of the data centre
 * @param region region the data centre belongs to
 */
public record DataCentreConfiguration(String name, String region) {
}
