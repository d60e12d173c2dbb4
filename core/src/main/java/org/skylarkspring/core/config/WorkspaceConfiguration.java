package org.skylarkspring.core.config;

import java.util.List;

import org.skylarkspring.core.model.WorkClass;

/**
 * Configuration of a workspace.
 *
 * @param name unique name of the workspace
 * @param keyDigest SHA-256 of the bearer key in lower-case hexadecimal digits
 * @param weight weight of the workspace in fair queueing, relative to other workspaces
 * @param workClass service objective of its generations
 * @param services names of the services that the workspace may use
 */
public record WorkspaceConfiguration(String name, String keyDigest, int weight, WorkClass workClass,
		List<String> services) {
}
