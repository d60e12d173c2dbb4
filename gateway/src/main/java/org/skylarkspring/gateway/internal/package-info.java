/**
 * Request handling and state of a gateway process.
 */
package org.skylarkspring.gateway.internal;
