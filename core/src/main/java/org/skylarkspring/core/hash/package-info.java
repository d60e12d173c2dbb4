/**
 * Hash functions shared by the modules.
 */
package org.skylarkspring.core.hash;
