/**
 * Interfaces between the gateway and external systems: callers, backend servers and the
 * object store.
 */
package org.skylarkspring.gateway.port;
