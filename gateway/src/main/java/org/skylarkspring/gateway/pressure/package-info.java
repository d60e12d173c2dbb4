/**
 * Limits on the memory that requests and responses occupy on servers and instances.
 */
package org.skylarkspring.gateway.pressure;
