/**
 * Tests of the decision logic of the gateway.
 */
package org.skylarkspring.gateway.placement;
