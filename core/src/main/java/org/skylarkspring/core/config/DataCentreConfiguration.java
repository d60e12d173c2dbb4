package org.skylarkspring.core.config;

/**
 * A data centre as configured.
 *
 * @param name unique name
 * @param region region the data centre belongs to
 */
public record DataCentreConfiguration(String name, String region) {
}
