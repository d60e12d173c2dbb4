/**
 * Tables of the decision core and the systems that operate on them. Not part of the
 * public API.
 */
package org.skylarkspring.core.internal;
