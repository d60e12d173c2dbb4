/**
 * Tests of reading the entry instance's settings.
 */
package org.skylarkspring.entry;
