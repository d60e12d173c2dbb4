package org.skylarkspring.gateway.pressure;

import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalLong;
import java.util.stream.Collectors;

import org.skylarkspring.gateway.model.ServerIncarnation;
import org.skylarkspring.gateway.model.ServerRegistration;
import org.skylarkspring.gateway.peer.DigestParticipant;
import org.skylarkspring.gateway.peer.PeerDigest;
import org.skylarkspring.gateway.placement.ServerGate;
import org.skylarkspring.gateway.placement.ServerUse;

/**
 * Counts the bodies of the requests that each server holds for all instances, and keeps
 * large bodies away from servers that hold too much. A server crashes if the bodies that
 * it holds exceed its memory.
 */
public final class OutstandingBodies implements ServerGate, DigestParticipant {

	/** Smaller bodies are sent to any server. */
	public static final long LARGE_BODY_BYTES = 64 * 1024;

	/**
	 * Fewer bytes at a server are not reported, so that the reports of instances with
	 * small bodies stay as small as they are.
	 */
	static final long MINIMUM_REPORTED_BYTES = 16 * 1024;

	/** Time after which the sums of the other instances are no longer used. */
	static final long PEER_SUMS_TTL_MILLIS = 2_000;

	/** Longer than it takes to find out that a server has crashed. */
	static final long PEAK_RETENTION_MILLIS = 5_000;

	private final Map<String, Holdings> holdingsByServer = new HashMap<>();

	private final BodyBounds bounds = new BodyBounds();

	private Map<String, Long> peerBytesByServer = Map.of();

	private long peerSumsMillis = Long.MIN_VALUE / 2;

	/**
	 * Records that a body is sent to a server.
	 * @param server the server
	 * @param bytes size of the body
	 * @param nowMillis current time in milliseconds
	 */
	public void recordSent(ServerRegistration server, long bytes, long nowMillis) {
		if (bytes > 0) {
			Holdings holdings = this.holdingsByServer.computeIfAbsent(server.id(), (id) -> new Holdings());
			holdings.incarnation = server.incarnation();
			holdings.service = server.service();
			holdings.ownBytes += bytes;
			holdings.recordPeak(heldBytes(server.id(), nowMillis), nowMillis);
		}
	}

	/**
	 * Records that a server no longer works on a request.
	 * @param server the server
	 * @param bytes size of the body
	 * @param nowMillis current time in milliseconds
	 */
	public void recordEnded(ServerRegistration server, long bytes, long nowMillis) {
		Holdings holdings = this.holdingsByServer.get(server.id());
		if (holdings != null) {
			holdings.recordPeak(heldBytes(server.id(), nowMillis), nowMillis);
			holdings.ownBytes -= bytes;
		}
	}

	/**
	 * Lowers the bound of a service if a server of it has crashed that held much.
	 * @param server the crashed server
	 * @param nowMillis current time in milliseconds
	 * @return the new bound in bytes, empty if the bound stays as it is
	 */
	public OptionalLong recordCrash(ServerIncarnation server, long nowMillis) {
		Holdings holdings = this.holdingsByServer.get(server.serverId());
		boolean known = holdings != null && server.equals(holdings.incarnation) && !holdings.crashRecorded(server);
		if (!known) {
			return OptionalLong.empty();
		}
		holdings.crashedIncarnation = server;
		return this.bounds.recordCrash(holdings.service, holdings.peakBytes(nowMillis), nowMillis);
	}

	/**
	 * Returns the bytes of the bodies that a server holds.
	 * @param serverId id of the server
	 * @param nowMillis current time in milliseconds
	 * @return the sum over all instances, as far as it is known
	 */
	public long heldBytes(String serverId, long nowMillis) {
		boolean fresh = nowMillis - this.peerSumsMillis < PEER_SUMS_TTL_MILLIS;
		Holdings own = this.holdingsByServer.get(serverId);
		return ((own != null) ? own.ownBytes : 0) + (fresh ? this.peerBytesByServer.getOrDefault(serverId, 0L) : 0);
	}

	/**
	 * Returns the bytes of the server that holds most of those with a body of this
	 * instance.
	 * @param nowMillis current time in milliseconds
	 * @return number of bytes
	 */
	public long largestHeldBytes(long nowMillis) {
		return this.holdingsByServer.keySet().stream().mapToLong((id) -> heldBytes(id, nowMillis)).max().orElse(0);
	}

	/**
	 * Decides whether a server may take a body.
	 * @param server the server
	 * @param bodyBytes size of the body
	 * @param nowMillis current time in milliseconds
	 * @return the decision
	 */
	public BodyDecision decide(ServerRegistration server, long bodyBytes, long nowMillis) {
		if (bodyBytes < LARGE_BODY_BYTES) {
			return new BodyDecision.Allowed();
		}
		long held = heldBytes(server.id(), nowMillis);
		long bound = this.bounds.boundBytes(server.service(), nowMillis);
		return (held + bodyBytes <= bound) ? new BodyDecision.Allowed()
				: new BodyDecision.Exceeded(held, bodyBytes, bound);
	}

	@Override
	public Optional<String> findObjection(ServerUse use, long nowMillis) {
		return (decide(use.server(), use.request().bodyBytes(), nowMillis) instanceof BodyDecision.Exceeded exceeded)
				? Optional.of(exceeded.toString()) : Optional.empty();
	}

	// The bound is an estimate, and a request that no other server can take is not
	// refused for it.
	@Override
	public boolean isAdvisory() {
		return true;
	}

	@Override
	public PeerDigest ownDigest(long nowMillis) {
		this.holdingsByServer.values().removeIf((holdings) -> holdings.isObsolete(nowMillis));
		List<ServerBodies> entries = this.holdingsByServer.entrySet()
			.stream()
			.filter((entry) -> entry.getValue().ownBytes >= MINIMUM_REPORTED_BYTES)
			.map((entry) -> new ServerBodies(entry.getKey(), entry.getValue().ownBytes))
			.toList();
		return new PeerDigest(null, null, null, entries.isEmpty() ? null : entries);
	}

	@Override
	public void onPeerDigest(PeerDigest peers, long nowMillis) {
		this.peerSumsMillis = nowMillis;
		this.peerBytesByServer = (peers.serverBodies() == null) ? Map.of()
				: peers.serverBodies()
					.stream()
					.collect(Collectors.toMap(ServerBodies::serverId, ServerBodies::bytes, Long::sum));
	}

	/**
	 * Bodies that this instance has sent to one server.
	 */
	private static final class Holdings {

		private ServerIncarnation incarnation;

		private String service;

		private ServerIncarnation crashedIncarnation;

		private long ownBytes;

		/** Largest number of bytes for all instances in the last seconds. */
		private long peakBytes;

		private long peakMillis;

		private void recordPeak(long heldBytes, long nowMillis) {
			if (heldBytes >= peakBytes(nowMillis)) {
				this.peakBytes = heldBytes;
				this.peakMillis = nowMillis;
			}
		}

		private long peakBytes(long nowMillis) {
			return isPeakRecent(nowMillis) ? this.peakBytes : 0;
		}

		private boolean isPeakRecent(long nowMillis) {
			return nowMillis - this.peakMillis < PEAK_RETENTION_MILLIS;
		}

		private boolean crashRecorded(ServerIncarnation server) {
			return server.equals(this.crashedIncarnation);
		}

		private boolean isObsolete(long nowMillis) {
			return this.ownBytes <= 0 && !isPeakRecent(nowMillis);
		}

	}

}
