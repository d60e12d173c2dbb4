/**
 * Tools that act as callers over HTTP: the load tool, the booking check and the
 * quickstart.
 */
package org.skylarkspring.bench.load;
