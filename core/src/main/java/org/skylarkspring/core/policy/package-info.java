/**
 * Configurable policies of the decision core: placement, memory reservation and
 * admission.
 */
package org.skylarkspring.core.policy;
