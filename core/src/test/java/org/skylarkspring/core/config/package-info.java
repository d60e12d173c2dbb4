/**
 * Tests of the configuration and its validation.
 */
package org.skylarkspring.core.config;
