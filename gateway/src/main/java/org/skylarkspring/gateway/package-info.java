/**
 * Gateway that forwards requests of any method, path and body to backend servers and
 * migrates running streams from server to server. {@code internal.GatewayRuntime}
 * connects the parts; these packages decide without network or threads:
 * <ul>
 * <li>{@code placement}, {@code pace}: which server a request gets</li>
 * <li>{@code admission}: whether a generation is dispatched, waits or is refused</li>
 * <li>{@code rollout}: how traffic moves to another server version</li>
 * <li>{@code pressure}: limits on memory at servers and in the instance</li>
 * <li>{@code peer}: sums that instances exchange for these parts</li>
 * </ul>
 */
package org.skylarkspring.gateway;
