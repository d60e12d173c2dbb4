package org.skylarkspring.entry.internal;

import java.util.List;
import java.util.Map;

import org.skylarkspring.core.model.DrainDirective;
import org.skylarkspring.core.model.InstanceRecord;
import org.skylarkspring.core.model.WarmupRecord;

/**
 * Messages exchanged between entry instances.
 */
final class PeerMessages {

	private PeerMessages() {
	}

	/**
	 * Summary of the control-plane state of one instance. The peer that receives it
	 * responds with its own.
	 *
	 * @param instanceId identifier of the sender
	 * @param dataCentre data centre of the sender
	 * @param revision revision of the sender's current configuration, 0 for none
	 * @param listVersion version of the sender's instance list, 0 for none
	 * @param directivesDigest hash of all drain directives of the sender
	 * @param directives drain directives, {@code null} if the receiver is expected to
	 * have the same ones
	 * @param ramps warm-up records of servers that are not warm, or of all servers if the
	 * receiver requested them
	 * @param wantsRamps whether the sender requests all warm-up records because it has
	 * just started
	 */
	record GossipDigest(String instanceId, String dataCentre, long revision, long listVersion, int directivesDigest,
			List<DrainDirective> directives, List<WarmupRecord> ramps, boolean wantsRamps) {
	}

	/**
	 * The platform's instance list with its version.
	 *
	 * @param version version of the list in the platform's store, or a higher number if
	 * the store was restored from an older state
	 * @param instances all instances of the list
	 */
	record InstanceList(long version, List<InstanceRecord> instances) {
	}

	/**
	 * Request for configuration shards.
	 *
	 * @param names names of the requested shards
	 */
	record ShardRequest(List<String> names) {
	}

	/**
	 * Response to a shard request. Shards that the peer does not have are omitted.
	 *
	 * @param shards shards as JSON text by name
	 */
	record ShardResponse(Map<String, String> shards) {
	}

}
