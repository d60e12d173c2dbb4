/**
 * Messages that go into the core.
 */
package org.skylarkspring.core.event;
