/**
 * Entity tables and the systems that run over them. Not part of the public surface.
 */
package org.skylarkspring.core.internal;
