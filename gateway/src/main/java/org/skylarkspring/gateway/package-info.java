/**
 * Gateway that forwards requests of any method, path and body to backend servers and
 * migrates running streams from server to server.
 */
package org.skylarkspring.gateway;
