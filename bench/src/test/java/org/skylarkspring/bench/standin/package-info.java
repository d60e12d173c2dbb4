/**
 * Tests of the entry instance against stand-ins in the same process.
 */
package org.skylarkspring.bench.standin;
