package org.skylarkspring.gateway.internal;

import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;

import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;

import org.skylarkspring.gateway.model.ServerRegistration;
import org.skylarkspring.gateway.placement.DataCentreReachabilityTracker;
import org.skylarkspring.gateway.placement.PlacementCostFunctions;
import org.skylarkspring.gateway.policy.ClusterMember;

/**
 * Base class of tests with one server, whose connections the tests accept.
 */
abstract class ServerDispatcherTestBase extends DispatcherTestBase {

	private static final int BACKLOG = 8;

	ServerSocket backend;

	ServerEntry entry;

	RequestDispatcher dispatcher;

	ServerSelector selector;

	PeerTable peers;

	@BeforeEach
	void openBackend() throws IOException {
		this.backend = new ServerSocket(0, BACKLOG, InetAddress.getLoopbackAddress());
		createDispatcher();
	}

	@AfterEach
	void closeBackend() throws IOException {
		this.backend.close();
	}

	private void createDispatcher() {
		ServerTable servers = new ServerTable((terminating) -> {
		});
		servers.addOrUpdate(
				new ServerRegistration("i-1", "s", "127.0.0.1:" + this.backend.getLocalPort(), "dc-1", 6, false, 0, 1),
				0);
		this.entry = servers.find("i-1").orElseThrow();
		this.peers = new PeerTable(new ClusterMember("gateway-1", "dc-1", 1), 5);
		ServerRateLimits rateLimits = new ServerRateLimits(this.context, servers, this.peers);
		DataCentreReachabilityTracker reachability = new DataCentreReachabilityTracker();
		this.selector = new ServerSelector(this.context, servers, this.peers, rateLimits, reachability,
				PlacementCostFunctions.leastLoaded());
		this.dispatcher = new RequestDispatcher(this.context, this.configuration, this.selector,
				new RetryBudgets(this.context.settings, this.context.scheduler, this.peers), reachability,
				this.registry, new CrashQuarantine(this.context, this.store, this.registry), rateLimits);
		this.dispatcher
			.setMigrator(new GenerationMigrator(this.context, this.dispatcher, this.registry, this.selector));
	}

}
