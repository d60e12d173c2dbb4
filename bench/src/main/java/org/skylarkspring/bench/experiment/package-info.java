/**
 * Drives the decision core against modelled engines on a virtual clock.
 */
package org.skylarkspring.bench.experiment;
