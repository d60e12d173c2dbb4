/**
 * The decision core: a library without sockets, threads, clocks or files that turns typed
 * events into typed actions.
 */
package org.skylarkspring.core;
