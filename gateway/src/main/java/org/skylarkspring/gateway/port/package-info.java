/**
 * Interfaces to the world outside the gateway: callers, backend servers and the object
 * store.
 */
package org.skylarkspring.gateway.port;
