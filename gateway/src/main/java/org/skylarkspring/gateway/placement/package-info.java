/**
 * Cost of placing a request on a server: load, pace and data centre, and rules about
 * which servers may be used. {@code internal.ServerSelector} selects by it.
 */
package org.skylarkspring.gateway.placement;
