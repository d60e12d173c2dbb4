/**
 * Small HTTP client on top of Undertow's, shared by the entry instance and the tools.
 */
package org.skylarkspring.entry.http;
