/**
 * Request handling, retries, migration of generations and state of a gateway process.
 */
package org.skylarkspring.gateway.internal;
