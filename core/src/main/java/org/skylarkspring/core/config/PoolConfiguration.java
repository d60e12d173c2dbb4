package org.skylarkspring.core.config;

import java.util.List;

/**
 * Configuration of a pool of backend servers.
 *
 * @param name unique name of the pool, as given in the platform's instance list
 * @param dataCentres names of the data centres in which the pool runs
 * @param warmupMillis time in milliseconds for which a started server must be healthy
 * before it receives full load
 * @param initialConcurrency maximum number of concurrent requests on a server that has
 * just started, summed over all entry instances
 * @param fullConcurrency maximum number of concurrent requests on a warm server
 * @param maximumInstances maximum number of entry instances that may exist in one data
 * centre at the same time, including replacements
 * @param modelVersion model version that the servers must load, empty if this system does
 * not manage model loading
 * @param minimumServers minimum number of warm servers that keep serving while others
 * load a model
 * @param concurrentLoads maximum number of servers that load a model at the same time, to
 * limit the load on the storage of the model weights
 */
public record PoolConfiguration(String name, List<String> dataCentres, long warmupMillis, int initialConcurrency,
		int fullConcurrency, int maximumInstances, String modelVersion, int minimumServers, int concurrentLoads) {
}
