package org.skylarkspring.gateway.peer;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.stream.Stream;

import org.skylarkspring.gateway.admission.WorkspaceDemand;
import org.skylarkspring.gateway.pace.ServerWork;
import org.skylarkspring.gateway.placement.DataCentreFlow;
import org.skylarkspring.gateway.pressure.ServerBodies;
import org.skylarkspring.gateway.rollout.VersionOutcomes;

/**
 * Sums that instances exchange with their load reports. Digests of several instances are
 * added up by the relays, so that the number and size of messages does not grow with the
 * number of instances.
 *
 * @param serverWork pace of servers, by server; {@code null} for none
 * @param versionOutcomes outcomes of requests during rollouts, by window, route and
 * version; {@code null} for none
 * @param workspaceDemand capacity used and wanted, by service, route and workspace;
 * {@code null} for none
 * @param serverBodies bodies of requests held by servers, by server; {@code null} for
 * none
 * @param dataCentreFlows memory used by data centre of the instances and of the servers;
 * {@code null} for none
 */
public record PeerDigest(List<ServerWork> serverWork, List<VersionOutcomes> versionOutcomes,
		List<WorkspaceDemand> workspaceDemand, List<ServerBodies> serverBodies, List<DataCentreFlow> dataCentreFlows) {

	/** Digest without entries. */
	public static final PeerDigest EMPTY = new PeerDigest(null, null, null, null, null);

	/**
	 * Creates a digest without the use of data centres.
	 * @param serverWork pace of servers
	 * @param versionOutcomes outcomes of requests during rollouts
	 * @param workspaceDemand capacity used and wanted
	 * @param serverBodies bodies of requests held by servers
	 */
	public PeerDigest(List<ServerWork> serverWork, List<VersionOutcomes> versionOutcomes,
			List<WorkspaceDemand> workspaceDemand, List<ServerBodies> serverBodies) {
		this(serverWork, versionOutcomes, workspaceDemand, serverBodies, null);
	}

	/**
	 * Adds up digests.
	 * @param digests the digests, {@code null} elements count as empty
	 * @return the sums, by key
	 */
	public static PeerDigest sum(Stream<PeerDigest> digests) {
		List<PeerDigest> present = digests.filter((digest) -> digest != null).toList();
		return new PeerDigest(sumByKey(present.stream().map(PeerDigest::serverWork)),
				sumByKey(present.stream().map(PeerDigest::versionOutcomes)),
				sumByKey(present.stream().map(PeerDigest::workspaceDemand)),
				sumByKey(present.stream().map(PeerDigest::serverBodies)),
				sumByKey(present.stream().map(PeerDigest::dataCentreFlows)));
	}

	// Absent lists are not written, so that deployments without these parts send nothing.
	private static <T extends DigestEntry<T>> List<T> sumByKey(Stream<List<T>> lists) {
		Map<String, T> sums = new LinkedHashMap<>();
		lists.filter((list) -> list != null)
			.flatMap(List::stream)
			.filter((entry) -> entry != null && entry.key() != null && entry.isValid())
			.forEach((entry) -> sums.merge(entry.key(), entry, DigestEntry::plus));
		return sums.isEmpty() ? null : new ArrayList<>(sums.values());
	}

	/**
	 * Returns whether the digest has no entries.
	 * @return {@code true} if it need not be sent
	 */
	public boolean isEmpty() {
		return equals(EMPTY);
	}

}
