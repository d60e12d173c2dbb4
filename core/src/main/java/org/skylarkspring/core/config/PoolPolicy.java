package org.skylarkspring.core.config;

import java.util.List;

/**
 * A pool of backend servers as configured.
 *
 * @param name unique name, matched with the pool in the platform's list of instances
 * @param dataCentres data centres the pool runs in
 * @param warmupMillis healthy time a started server needs until it bears full load
 * @param initialConcurrency requests a started server bears, summed over all entry
 * instances
 * @param fullConcurrency requests a warm server bears
 * @param maximumInstances upper bound of entry instances that may address the pool at one
 * time, replacements included
 */
public record PoolPolicy(String name, List<String> dataCentres, long warmupMillis, int initialConcurrency,
		int fullConcurrency, int maximumInstances) {
}
