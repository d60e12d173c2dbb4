/**
 * The operators' command-line tool, a client of the administration API.
 */
package org.skylarkspring.cli;
