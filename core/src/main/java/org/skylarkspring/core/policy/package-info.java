/**
 * The parts of the core's behaviour that vary: placement, memory promises and limits.
 */
package org.skylarkspring.core.policy;
