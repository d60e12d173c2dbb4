package org.skylarkspring.gateway.model;

import java.util.OptionalInt;

/**
 * A workspace that callers belong to.
 *
 * @param name name of the workspace
 * @param priority rank that replaces the rank of the route, 0 is the most urgent
 */
public record WorkspaceSpec(String name, OptionalInt priority) {
}
