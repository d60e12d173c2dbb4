package org.skylarkspring.core.model;

/**
 * An entry of the platform's instance list. The list may lag behind the actual state.
 *
 * @param instanceId unique name of the instance
 * @param role role of the instance
 * @param pool pool of a backend server, empty for an entry instance
 * @param dataCentre data centre of the instance
 * @param address IP address and port, such as {@code 127.0.0.1:8100}
 * @param state whether the instance is live or leaving
 */
public record InstanceRecord(String instanceId, InstanceRole role, String pool, String dataCentre, String address,
		InstanceState state) {
}
