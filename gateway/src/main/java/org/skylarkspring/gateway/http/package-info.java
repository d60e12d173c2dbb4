/**
 * HTTP client whose calls run on the I/O thread that owns them, and checks of responses
 * on the bytes of their connections, which the entry instance uses as well.
 */
package org.skylarkspring.gateway.http;
