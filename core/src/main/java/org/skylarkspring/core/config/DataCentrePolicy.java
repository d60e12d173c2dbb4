package org.skylarkspring.core.config;

/**
 * A data centre as configured.
 *
 * @param name unique name
 * @param region region the data centre belongs to
 */
public record DataCentrePolicy(String name, String region) {
}
