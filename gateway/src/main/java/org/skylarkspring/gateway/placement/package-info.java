/**
 * Selection of servers by their pace, the expected times of a request and the data
 * centre.
 */
package org.skylarkspring.gateway.placement;
