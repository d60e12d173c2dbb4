package org.skylarkspring.gateway.placement;

import java.util.List;
import java.util.Optional;
import java.util.function.Supplier;
import java.util.stream.Stream;

import org.skylarkspring.gateway.peer.DigestParticipant;
import org.skylarkspring.gateway.peer.ExpiringSums;
import org.skylarkspring.gateway.peer.PeerDigest;

/**
 * How much of each data centre's memory is used by its own instances and by those of
 * others.
 */
public final class DataCentreTraffic implements DigestParticipant {

	private final Supplier<List<DataCentreFlow>> ownFlows;

	private final ExpiringSums<List<DataCentreFlow>> peerFlows = new ExpiringSums<>(List.of());

	/**
	 * Creates the view.
	 * @param ownFlows returns what this instance uses, of services whose servers report
	 * their pace
	 */
	public DataCentreTraffic(Supplier<List<DataCentreFlow>> ownFlows) {
		this.ownFlows = ownFlows;
	}

	/**
	 * Returns the room that a data centre has for requests of others: what its own
	 * instances do not need, less what others use already.
	 * @param service name of the service
	 * @param dataCentre the data centre
	 * @param capacityTokens the KV cache memory of the servers there, in tokens
	 * @param nowMillis current time in milliseconds
	 * @return the room in tokens, 0 if there is none
	 */
	public long spareTokens(String service, String dataCentre, long capacityTokens, long nowMillis) {
		long home = tokens(
				flows(nowMillis).filter((flow) -> flow.isTo(service, dataCentre) && flow.isFrom(service, dataCentre)));
		return SpareCapacity.tokens(capacityTokens, home, importedTokens(service, dataCentre, nowMillis));
	}

	/**
	 * Returns whether other data centres use more of the servers of a data centre than
	 * its instances use of theirs.
	 * @param service name of the service
	 * @param dataCentre the data centre
	 * @param nowMillis current time in milliseconds
	 * @return {@code true} if it takes on more than it gives away
	 */
	public boolean isNetImporter(String service, String dataCentre, long nowMillis) {
		long exported = tokens(
				flows(nowMillis).filter((flow) -> flow.isFrom(service, dataCentre) && !flow.isTo(service, dataCentre)));
		return importedTokens(service, dataCentre, nowMillis) > exported;
	}

	private long importedTokens(String service, String dataCentre, long nowMillis) {
		return tokens(
				flows(nowMillis).filter((flow) -> flow.isTo(service, dataCentre) && !flow.isFrom(service, dataCentre)));
	}

	private Stream<DataCentreFlow> flows(long nowMillis) {
		return Stream.concat(this.ownFlows.get().stream(), this.peerFlows.current(nowMillis).stream());
	}

	private static long tokens(Stream<DataCentreFlow> flows) {
		return flows.mapToLong(DataCentreFlow::tokens).sum();
	}

	@Override
	public PeerDigest ownDigest(long nowMillis) {
		List<DataCentreFlow> flows = this.ownFlows.get();
		return flows.isEmpty() ? PeerDigest.EMPTY : new PeerDigest(null, null, null, null, flows);
	}

	@Override
	public void onPeerDigest(PeerDigest peers, long nowMillis) {
		this.peerFlows.set(Optional.ofNullable(peers.dataCentreFlows()).orElse(List.of()), nowMillis);
	}

}
