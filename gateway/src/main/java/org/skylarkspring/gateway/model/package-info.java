/**
 * Data types of the gateway: routing configuration, server registrations, and request and
 * response headers.
 */
package org.skylarkspring.gateway.model;
