/**
 * HTTP client calls on the I/O thread that owns the gateway.
 */
package org.skylarkspring.gateway.http;
