/**
 * Immutable values that the decision core exchanges with the code that embeds it.
 */
package org.skylarkspring.core.model;
