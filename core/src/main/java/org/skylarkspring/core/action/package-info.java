/**
 * Actions that the decision core requests and the embedding code carries out.
 */
package org.skylarkspring.core.action;
