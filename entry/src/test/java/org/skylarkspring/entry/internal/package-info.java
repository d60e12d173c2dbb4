/**
 * Tests of the entry instance.
 */
package org.skylarkspring.entry.internal;
