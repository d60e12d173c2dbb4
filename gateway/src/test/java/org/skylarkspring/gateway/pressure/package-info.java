/**
 * Tests of the limits on the memory that requests and responses occupy.
 */
package org.skylarkspring.gateway.pressure;
