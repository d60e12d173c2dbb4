package org.skylarkspring.entry.internal;

import org.skylarkspring.entry.EntrySettings;
import org.skylarkspring.entry.http.HttpConnectionPool;

/**
 * Parts that the request handlers share.
 *
 * @param settings settings of the instance
 * @param coreLoop the core's thread
 * @param requestRegistry open requests
 * @param connectionPool connections to backend servers
 * @param metrics metrics of the instance
 * @param serviceDirectory workspaces and services in force
 */
record EntryContext(EntrySettings settings, CoreLoop coreLoop, RequestRegistry requestRegistry,
		HttpConnectionPool connectionPool, EntryMetrics metrics, ServiceDirectory serviceDirectory) {
}
