package org.skylarkspring.entry.internal;

import java.util.List;

import org.skylarkspring.core.config.DataCentrePolicy;
import org.skylarkspring.core.config.PoolPolicy;
import org.skylarkspring.core.config.ServicePolicy;
import org.skylarkspring.core.config.WorkspacePolicy;

/**
 * Part of a configuration.
 *
 * @param services services of this shard
 * @param pools pools of this shard
 * @param dataCentres data centres of this shard
 * @param workspaces workspaces of this shard
 */
record ConfigurationShard(List<ServicePolicy> services, List<PoolPolicy> pools, List<DataCentrePolicy> dataCentres,
		List<WorkspacePolicy> workspaces) {
}
