/**
 * Small processes that stand in for the platform, model engines and plain services.
 */
package org.skylarkspring.bench.standin;
