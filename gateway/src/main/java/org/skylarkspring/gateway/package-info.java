/**
 * Gateway: forwards requests of any method, path and body to backend servers, with
 * streams carried from server to server.
 */
package org.skylarkspring.gateway;
