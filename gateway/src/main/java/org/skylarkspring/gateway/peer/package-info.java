/**
 * Knowledge that instances exchange with their load reports.
 */
package org.skylarkspring.gateway.peer;
