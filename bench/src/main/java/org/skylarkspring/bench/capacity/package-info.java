/**
 * Measurements of memory, message sizes and decision times at several fleet sizes, from
 * which the figures in docs/CAPACITY.md are computed.
 */
package org.skylarkspring.bench.capacity;
