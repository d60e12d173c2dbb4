/**
 * Tests of the operators' command-line tool.
 */
package org.skylarkspring.cli;
