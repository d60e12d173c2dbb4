/**
 * The entry instance: a process around the decision core that serves callers over HTTP
 * and communicates with backend servers, peer instances and the platform.
 */
package org.skylarkspring.entry;
