/**
 * The configuration that operators publish, its file format and its validation.
 */
package org.skylarkspring.core.config;
