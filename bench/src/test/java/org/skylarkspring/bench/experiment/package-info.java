/**
 * Tests that inject faults into simulations on the virtual clock.
 */
package org.skylarkspring.bench.experiment;
