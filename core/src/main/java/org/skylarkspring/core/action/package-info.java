/**
 * Messages that come out of the core and that the daemon carries out.
 */
package org.skylarkspring.core.action;
