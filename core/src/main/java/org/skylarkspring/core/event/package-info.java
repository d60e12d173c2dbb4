/**
 * Events that are passed to the decision core.
 */
package org.skylarkspring.core.event;
