/**
 * Messages exchanged with model engines and with operators.
 */
package org.skylarkspring.entry.api;
