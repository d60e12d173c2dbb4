/**
 * Experiments that run the decision core against simulated engines on a virtual clock.
 */
package org.skylarkspring.bench.experiment;
