/**
 * Decisions on which requests are served now, later or not at all while servers lack
 * room.
 */
package org.skylarkspring.gateway.admission;
