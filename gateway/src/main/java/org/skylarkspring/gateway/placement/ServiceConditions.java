package org.skylarkspring.gateway.placement;

import java.util.Map;
import java.util.Optional;

import org.skylarkspring.gateway.pace.ServicePaces;

/**
 * What is known of the servers of a service beyond their load, at the time of a
 * selection.
 *
 * @param paces paces of the servers, empty if they report none
 * @param remoteDataCentres the way to each other data centre, empty if the servers report
 * no pace
 */
public record ServiceConditions(Optional<ServicePaces> paces, Map<String, RemoteDataCentreState> remoteDataCentres) {
}
