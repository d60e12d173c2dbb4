package org.skylarkspring.entry.internal;

import java.util.List;

import org.skylarkspring.core.config.DataCentreConfiguration;
import org.skylarkspring.core.config.PoolConfiguration;
import org.skylarkspring.core.config.ServiceConfiguration;
import org.skylarkspring.core.config.WorkspaceConfiguration;

/**
 * One shard of a configuration, see {@link ShardedConfiguration}.
 *
 * @param services services of this shard
 * @param pools pools of this shard
 * @param dataCentres data centres of this shard
 * @param workspaces workspaces of this shard
 */
record ConfigurationShard(List<ServiceConfiguration> services, List<PoolConfiguration> pools,
		List<DataCentreConfiguration> dataCentres, List<WorkspaceConfiguration> workspaces) {
}
