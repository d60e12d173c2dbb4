package org.skylarkspring.gateway.model;

import java.util.Comparator;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Collectors;

/**
 * One version of the configuration that decides where requests go and whose they are.
 * <pre class="code">
 * Optional&lt;RouteSpec&gt; route = table.route("ficu.example", "/lohu/7");
 * </pre>
 */
public final class RoutingTable {

	private final long version;

	private final Map<String, List<RouteSpec>> routesByHost;

	private final Map<String, ServiceSpec> services;

	private final Map<String, WorkspaceSpec> workspacesByApiKey;

	private final boolean apiKeyRequired;

	private final CallerLimits callerLimits;

	/**
	 * Creates a table.
	 * @param version version of the configuration, rising
	 * @param routes all routes
	 * @param services all services by name
	 * @param workspacesByApiKey workspaces by the keys of their callers
	 * @param apiKeyRequired whether requests need a key unless their route says otherwise
	 * @param callerLimits bounds on what callers may send
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
	}

	/**
	 * Returns the version.
	 * @return the version
	 */
	public long version() {
		return this.version;
	}

	/**
	 * Returns the route with the longest prefix of a path.
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
	 * Returns a service.
	 * @param name name of the service
	 * @return the service, empty if there is none of that name
	 */
	public Optional<ServiceSpec> findService(String name) {
		return Optional.ofNullable(this.services.get(name));
	}

	/**
	 * Returns the workspace that holds a key.
	 * @param key key of a caller
	 * @return the workspace, empty if none holds the key
	 */
	public Optional<WorkspaceSpec> findWorkspaceByApiKey(String key) {
		return Optional.ofNullable(this.workspacesByApiKey.get(key));
	}

	/**
	 * Returns whether requests need a key unless their route is anonymous.
	 * @return {@code true} if there are workspaces
	 */
	public boolean isApiKeyRequired() {
		return this.apiKeyRequired;
	}

	/**
	 * Returns the bounds on what callers may send.
	 * @return the bounds
	 */
	public CallerLimits callerLimits() {
		return this.callerLimits;
	}

}
