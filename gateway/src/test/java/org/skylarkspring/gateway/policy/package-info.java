/**
 * Tests of the decisions.
 */
package org.skylarkspring.gateway.policy;
