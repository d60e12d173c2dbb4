/**
 * Decisions of the gateway, free of sockets, threads and clocks.
 */
package org.skylarkspring.gateway.policy;
