/**
 * Histories of concurrent runs on the virtual clock, under failure.
 */
package org.skylarkspring.bench.experiment;
