package org.skylarkspring.gateway.placement;

/**
 * What is known about the way to a server in another data centre.
 *
 * @param millisSinceResponse time since a server there last accepted a connection of this
 * instance, in milliseconds, -1 if none ever has
 * @param spareTokens memory there that its own instances do not need and others do not
 * use, in tokens
 * @param netImporter whether other data centres use more of the servers of this
 * instance's data centre than its instances use of theirs
 */
public record RemoteDataCentreState(long millisSinceResponse, long spareTokens, boolean netImporter) {
}
