/**
 * HTTP client whose calls run on the I/O thread of the gateway.
 */
package org.skylarkspring.gateway.http;
