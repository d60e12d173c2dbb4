/**
 * The entry instance: a thin daemon around the decision core that serves callers over
 * HTTP and keeps in touch with backend servers, peers and the platform.
 */
package org.skylarkspring.entry;
