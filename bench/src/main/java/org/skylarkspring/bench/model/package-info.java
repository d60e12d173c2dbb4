/**
 * A model of a model engine that runs on any clock.
 */
package org.skylarkspring.bench.model;
