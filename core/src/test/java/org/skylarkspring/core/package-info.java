/**
 * Tests of the decision core.
 */
package org.skylarkspring.core;
