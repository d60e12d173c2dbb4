/**
 * Stand-ins for external systems, load tools, capacity measurements and experiments. No
 * production module depends on this module.
 */
package org.skylarkspring.bench;
