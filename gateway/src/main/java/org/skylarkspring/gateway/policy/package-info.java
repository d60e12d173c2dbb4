/**
 * Decision logic of the gateway, independent of sockets, threads and clocks.
 */
package org.skylarkspring.gateway.policy;
