/**
 * Tests of the HTTP client.
 */
package org.skylarkspring.entry.http;
