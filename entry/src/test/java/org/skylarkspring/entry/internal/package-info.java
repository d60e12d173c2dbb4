/**
 * Tests of the entry instance's control state and configuration handling.
 */
package org.skylarkspring.entry.internal;
