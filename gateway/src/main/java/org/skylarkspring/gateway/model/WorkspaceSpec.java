package org.skylarkspring.gateway.model;

import java.util.OptionalInt;

/**
 * Workspace that callers belong to.
 *
 * @param name name of the workspace
 * @param priority priority that replaces the priority of the route, 0 is the most urgent;
 * empty to use that of the route
 */
public record WorkspaceSpec(String name, OptionalInt priority) {
}
