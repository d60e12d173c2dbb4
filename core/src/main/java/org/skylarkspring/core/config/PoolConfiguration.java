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
 * @param maximumInstances upper bound of entry instances in one data centre at one time,
 * replacements included
 * @param modelVersion version of the model that the servers are to load, empty if the
 * system gives no orders
 * @param minimumServers warm servers that keep serving while others load
 * @param concurrentLoads servers that load at one time, for the weight store's sake
 */
public record PoolConfiguration(String name, List<String> dataCentres, long warmupMillis, int initialConcurrency,
		int fullConcurrency, int maximumInstances, String modelVersion, int minimumServers, int concurrentLoads) {
}
