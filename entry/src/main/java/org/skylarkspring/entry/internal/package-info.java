/**
 * Parts of the entry instance. Not part of the public surface.
 */
package org.skylarkspring.entry.internal;
