package org.skylarkspring.core.config;

import java.util.List;

import org.skylarkspring.core.model.WorkClass;

/**
 * A workspace as configured.
 *
 * @param name unique name
 * @param keyDigest SHA-256 of the bearer key in lower-case hexadecimal digits
 * @param weight share relative to other workspaces
 * @param workClass aim that its generations are served with
 * @param services services it may use
 */
public record WorkspaceConfiguration(String name, String keyDigest, int weight, WorkClass workClass,
		List<String> services) {
}
