/**
 * Immutable values that the core exchanges with the processes around it.
 */
package org.skylarkspring.core.model;
