/**
 * Stand-ins for the systems around the product, the load tool and the experiment tool.
 * The product never depends on this module.
 */
package org.skylarkspring.bench;
