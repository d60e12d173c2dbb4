package org.skylarkspring.entry.internal;

import org.skylarkspring.entry.EntrySettings;
import org.skylarkspring.entry.http.HttpConnectionPool;

/**
 * Components shared by the request handlers.
 *
 * @param settings settings of the instance
 * @param coreLoop runs the decision core
 * @param requestRegistry open requests of the instance
 * @param connectionPool connections to backend servers
 * @param metrics metrics of the instance
 * @param serviceDirectory workspaces and services of the current configuration
 */
record EntryContext(EntrySettings settings, CoreLoop coreLoop, RequestRegistry requestRegistry,
		HttpConnectionPool connectionPool, EntryMetrics metrics, ServiceDirectory serviceDirectory) {
}
