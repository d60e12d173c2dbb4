/**
 * Typed messages of the gateway: configuration, server listings, heads of requests and
 * answers.
 */
package org.skylarkspring.gateway.model;
