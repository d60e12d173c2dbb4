/**
 * Tests of the paces of backend servers.
 */
package org.skylarkspring.gateway.pace;
