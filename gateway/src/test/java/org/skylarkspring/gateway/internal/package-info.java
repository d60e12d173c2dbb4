/**
 * Tests of the state of a gateway, on virtual time.
 */
package org.skylarkspring.gateway.internal;
