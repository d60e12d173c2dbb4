/**
 * Tests of the core's systems.
 */
package org.skylarkspring.core.internal;
