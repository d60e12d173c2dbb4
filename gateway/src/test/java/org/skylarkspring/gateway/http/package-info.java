/**
 * Tests of HTTP calls over sockets.
 */
package org.skylarkspring.gateway.http;
