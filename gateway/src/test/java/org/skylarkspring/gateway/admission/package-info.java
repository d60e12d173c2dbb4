/**
 * Tests of the decisions on which requests are served now, later or not at all.
 */
package org.skylarkspring.gateway.admission;
