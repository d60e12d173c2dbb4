package org.skylarkspring.gateway.model;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * One version of the routing configuration, which maps requests to routes and services
 * and API keys to workspaces. <pre class="code">
 * Optional&lt;RouteSpec&gt; route = table.findRoute("ficu.example", "/lohu/7");
 * </pre>
 */
public final class RoutingTable {

	private final long version;

	private final Map<String, List<RouteSpec>> routesByHost;

	private final Map<String, ServiceSpec> services;

	private final Map<String, WorkspaceSpec> workspacesByApiKey;

	private final boolean apiKeyRequired;

	private final CallerLimits callerLimits;

	private final Map<String, Long> longestTargetLatencyMillis;

	/**
	 * Creates a routing table.
	 * @param version version of the configuration, increases with each change
	 * @param routes all routes
	 * @param services all services by name
	 * @param workspacesByApiKey workspaces by the API keys of their callers
	 * @param apiKeyRequired whether requests need an API key unless their route allows
	 * anonymous requests
	 * @param callerLimits limits on requests from callers
	 */
	public RoutingTable(long version, List<RouteSpec> routes, Map<String, ServiceSpec> services,
			Map<String, WorkspaceSpec> workspacesByApiKey, boolean apiKeyRequired, CallerLimits callerLimits) {
		this.version = version;
		this.routesByHost = routes.stream()
			.sorted(Comparator.comparingInt((RouteSpec route) -> route.pathPrefix().length()).reversed())
			.collect(Collectors.groupingBy((route) -> route.host().toLowerCase(Locale.ROOT)));
		this.services = Map.copyOf(services);
		this.workspacesByApiKey = Map.copyOf(workspacesByApiKey);
		this.apiKeyRequired = apiKeyRequired;
		this.callerLimits = callerLimits;
		// A target that is not below the timeout was not stated or has no effect.
		this.longestTargetLatencyMillis = routes.stream()
			.filter((route) -> route.targetLatencyMillis() < route.timeoutMillis())
			.flatMap((route) -> route.services()
				.stream()
				.map((target) -> Map.entry(target.service(), route.targetLatencyMillis())))
			.collect(Collectors.toMap(Map.Entry::getKey, Map.Entry::getValue, Math::max));
	}

	/**
	 * Returns the version of the configuration.
	 * @return the version, increases with each change
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns the route with the longest prefix that matches a path.
	 * @param host host of the request, with or without a port
	 * @param path path of the request
	 * @return the route, empty if none matches
	 */
	public Optional<RouteSpec> findRoute(String host, String path) {
		int colon = host.indexOf(':');
		String name = ((colon < 0) ? host : host.substring(0, colon)).toLowerCase(Locale.ROOT);
		return this.routesByHost.getOrDefault(name, List.of())
			.stream()
			.filter((route) -> path.startsWith(route.pathPrefix()))
			.findFirst();
	}

	/**
	 * Returns the service with a name.
	 * @param name name of the service
	 * @return the service, empty if there is none of that name
	 */
	public Optional<ServiceSpec> findService(String name) {
		return Optional.ofNullable(this.services.get(name));
	}

	/**
	 * Returns the longest target latency of the routes to a service.
	 * @param service name of the service
	 * @return the target latency in milliseconds, 0 if no route to the service has a
	 * target below its timeout
	 */
	public long longestTargetLatencyMillis(String service) {
		return this.longestTargetLatencyMillis.getOrDefault(service, 0L);
	}

	/**
	 * Returns the workspace that an API key belongs to.
	 * @param key the API key of a caller
	 * @return the workspace, empty if the key is unknown
	 */
	public Optional<WorkspaceSpec> findWorkspaceByApiKey(String key) {
		return Optional.ofNullable(this.workspacesByApiKey.get(key));
	}

	/**
	 * Returns whether requests need an API key unless their route allows anonymous
	 * requests.
	 * @return {@code true} if the configuration defines workspaces
	 */
	public boolean isApiKeyRequired() {
		return this.apiKeyRequired;
	}

	/**
	 * Returns the limits on requests from callers.
	 * @return the limits
	 */
	public CallerLimits callerLimits() {
		return this.callerLimits;
	}

}
