package org.skylarkspring.core.config;

import java.util.List;
import java.util.Optional;

/**
 * A revision of the complete configuration.
 *
 * @param revision number of the revision, increased by each publication
 * @param publishId unique identifier of the publication
 * @param services all services
 * @param pools all pools
 * @param workspaces all workspaces
 * @param dataCentres all data centres
 */
public record Configuration(long revision, String publishId, List<ServiceConfiguration> services,
		List<PoolConfiguration> pools, List<WorkspaceConfiguration> workspaces,
		List<DataCentreConfiguration> dataCentres) {

	/**
	 * Returns a configuration with the same content and another revision.
	 * @param newRevision number of the revision
	 * @param newPublishId unique identifier of the publication
	 * @return a new configuration
	 */
	public Configuration withRevision(long newRevision, String newPublishId) {
		return new Configuration(newRevision, newPublishId, this.services, this.pools, this.workspaces,
				this.dataCentres);
	}

	/**
	 * Finds a service by its name.
	 * @param name the name
	 * @return the service, empty if there is none
	 */
	public Optional<ServiceConfiguration> service(String name) {
		return this.services.stream().filter((service) -> service.name().equals(name)).findFirst();
	}

	/**
	 * Finds a pool by its name.
	 * @param name the name
	 * @return the pool, empty if there is none
	 */
	public Optional<PoolConfiguration> pool(String name) {
		return this.pools.stream().filter((pool) -> pool.name().equals(name)).findFirst();
	}

}
