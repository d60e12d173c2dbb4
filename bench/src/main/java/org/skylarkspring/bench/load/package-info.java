/**
 * Callers over HTTP: the load tool and the quickstart.
 */
package org.skylarkspring.bench.load;
