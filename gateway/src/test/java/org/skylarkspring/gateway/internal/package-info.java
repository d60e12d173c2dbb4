/**
 * Tests for the state of a gateway, run in virtual time.
 */
package org.skylarkspring.gateway.internal;
