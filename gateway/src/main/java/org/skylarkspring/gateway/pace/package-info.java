/**
 * How long work takes on each backend server, from the observations of all instances.
 */
package org.skylarkspring.gateway.pace;
