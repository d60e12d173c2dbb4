package org.skylarkspring.entry.internal;

import java.util.List;
import java.util.Map;

import org.skylarkspring.core.model.DrainDirective;
import org.skylarkspring.core.model.InstanceRecord;
import org.skylarkspring.core.model.WarmupRecord;

/**
 * Messages between entry instances.
 */
final class PeerMessages {

	private PeerMessages() {
	}

	/**
	 * What one instance knows, sent to a peer and returned by it.
	 *
	 * @param instanceId sender
	 * @param dataCentre data centre of the sender
	 * @param revision revision of the configuration in force, 0 for none
	 * @param listVersion version of the list of instances, 0 for none
	 * @param directivesDigest digest of all directives
	 * @param directives directives, {@code null} if the digests are thought to agree
	 * @param ramps warm-up records of servers that are not warm, or all if asked for
	 * @param wantsRamps whether the sender has just started and needs all records
	 */
	record GossipDigest(String instanceId, String dataCentre, long revision, long listVersion, int directivesDigest,
			List<DrainDirective> directives, List<WarmupRecord> ramps, boolean wantsRamps) {
	}

	/**
	 * A list of instances with its version.
	 *
	 * @param version version in the platform's store
	 * @param instances all rows
	 */
	record InstanceList(long version, List<InstanceRecord> instances) {
	}

	/**
	 * Shards asked for.
	 *
	 * @param names names of the shards
	 */
	record ShardRequest(List<String> names) {
	}

	/**
	 * Shards that the peer holds.
	 *
	 * @param shards texts of the shards by name
	 */
	record ShardResponse(Map<String, String> shards) {
	}

}
