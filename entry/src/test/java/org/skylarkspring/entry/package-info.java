/**
 * Tests of the entry instance's settings.
 */
package org.skylarkspring.entry;
