package org.skylarkspring.gateway.policy;

import java.util.Collection;
import java.util.Comparator;
import java.util.List;
import java.util.Set;
import java.util.stream.Collectors;

import org.skylarkspring.core.hash.RendezvousHash;

/**
 * Selects the instances that relay load reports between the others, so that the number of
 * messages per instance does not grow with the number of instances. All instances with
 * the same list of members select the same relays. <pre class="code">
 * Set&lt;String&gt; relays = RelaySelector.selectRelays(members);
 * </pre>
 */
public final class RelaySelector {

	/** Up to this number of members, all exchange load reports directly. */
	static final int FULL_MESH_MAXIMUM_MEMBERS = 12;

	/** Two, so that one of them may be unavailable. */
	static final int RELAYS_PER_DATA_CENTRE = 2;

	private RelaySelector() {
	}

	/**
	 * Selects the relays: all members of a small cluster, otherwise the members with the
	 * most cores in each data centre.
	 * @param members all members
	 * @return instance ids of the relays
	 */
	public static Set<String> selectRelays(Collection<ClusterMember> members) {
		if (members.size() <= FULL_MESH_MAXIMUM_MEMBERS) {
			return members.stream().map(ClusterMember::instanceId).collect(Collectors.toUnmodifiableSet());
		}
		return members.stream()
			.collect(Collectors.groupingBy(ClusterMember::dataCentre))
			.values()
			.stream()
			.flatMap((group) -> membersWithMostCores(group).stream())
			.map(ClusterMember::instanceId)
			.collect(Collectors.toUnmodifiableSet());
	}

	private static List<ClusterMember> membersWithMostCores(List<ClusterMember> group) {
		return group.stream()
			.sorted(Comparator.comparingDouble(ClusterMember::cores)
				.reversed()
				.thenComparingLong((member) -> RendezvousHash.score(member.dataCentre(), member.instanceId())))
			.limit(RELAYS_PER_DATA_CENTRE)
			.toList();
	}

}
