package org.skylarkspring.gateway.policy;

/**
 * Instance of the cluster, with the properties that determine the relays.
 *
 * @param instanceId id of the instance
 * @param dataCentre data centre of the instance
 * @param cores number of processor cores it may use, a fraction on small machines
 */
public record ClusterMember(String instanceId, String dataCentre, double cores) {
}
