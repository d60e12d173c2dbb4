package org.skylarkspring.gateway.policy;

/**
 * An instance as others know it.
 *
 * @param instanceId name of the instance
 * @param dataCentre data centre it stands in
 * @param cores processor cores it may use, a fraction on small machines
 */
public record ClusterMember(String instanceId, String dataCentre, double cores) {
}
