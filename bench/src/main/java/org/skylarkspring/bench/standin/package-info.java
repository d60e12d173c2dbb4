/**
 * Stand-ins for the platform's object API, inference engines, plain services and network
 * links, for tests and demonstrations.
 */
package org.skylarkspring.bench.standin;
