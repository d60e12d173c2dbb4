/**
 * Simulation model of an inference engine. It has no clock, so that it can run in real or
 * simulated time.
 */
package org.skylarkspring.bench.model;
