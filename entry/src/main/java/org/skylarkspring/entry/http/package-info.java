/**
 * Asynchronous HTTP client based on Undertow's, used by the entry instance and by the
 * command-line and load-test tools.
 */
package org.skylarkspring.entry.http;
