/**
 * Internal implementation of the entry instance: handling of caller and control requests
 * and exchange of control-plane state with peers and the platform. Not part of the public
 * API.
 */
package org.skylarkspring.entry.internal;
