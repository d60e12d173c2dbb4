/**
 * Tests of calls over sockets.
 */
package org.skylarkspring.gateway.http;
