/**
 * Measures the slopes that docs/CAPACITY.md is worked out from.
 */
package org.skylarkspring.bench.capacity;
