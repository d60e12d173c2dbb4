/**
 * Tests of the configuration.
 */
package org.skylarkspring.core.config;
