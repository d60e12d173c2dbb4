/**
 * Tests of the decisions about rollouts.
 */
package org.skylarkspring.gateway.rollout;
