/**
 * The configuration that operators publish, its file format and its checks.
 */
package org.skylarkspring.core.config;
