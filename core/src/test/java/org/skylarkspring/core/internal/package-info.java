/**
 * Tests of the systems of the decision core.
 */
package org.skylarkspring.core.internal;
