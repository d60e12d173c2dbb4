/**
 * Tests of the command line.
 */
package org.skylarkspring.cli;
