/**
 * Gradual transfer of a service's traffic to servers of another version.
 */
package org.skylarkspring.gateway.rollout;
