package org.skylarkspring.entry.internal;

import org.skylarkspring.entry.EntrySettings;
import org.skylarkspring.entry.http.HttpConnections;

/**
 * Parts that the request handlers share.
 *
 * @param settings settings of the instance
 * @param loop the core's thread
 * @param registry open requests
 * @param connections connections to backend servers
 * @param metrics metrics of the instance
 * @param directory workspaces and services in force
 */
record EntryServices(EntrySettings settings, CoreLoop loop, RequestRegistry registry, HttpConnections connections,
		EntryMetrics metrics, ServiceDirectory directory) {
}
