/**
 * The entry instance in front of stand-ins, in one process.
 */
package org.skylarkspring.bench.standin;
