/**
 * Messages that entry instances exchange with model engines and operators.
 */
package org.skylarkspring.entry.api;
