/**
 * Actions that the decision core requests and the entry process carries out.
 */
package org.skylarkspring.core.action;
