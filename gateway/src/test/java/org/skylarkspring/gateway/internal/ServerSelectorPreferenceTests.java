package org.skylarkspring.gateway.internal;

import java.io.IOException;
import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;
import java.util.function.Function;

import io.undertow.server.DefaultByteBufferPool;
import org.junit.jupiter.api.AfterEach;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Test;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

import org.skylarkspring.gateway.GatewaySettings;
import org.skylarkspring.gateway.model.ServerRegistration;
import org.skylarkspring.gateway.model.ServiceSpec;
import org.skylarkspring.gateway.placement.DataCentreReachabilityTracker;
import org.skylarkspring.gateway.placement.PlacementCostFunctions;
import org.skylarkspring.gateway.placement.PlacementRequest;
import org.skylarkspring.gateway.placement.ServerGate;
import org.skylarkspring.gateway.placement.ServerUse;
import org.skylarkspring.gateway.policy.ClusterMember;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests that a {@link ServerGate} that is a preference moves requests to other servers,
 * but never leaves a request without a server.
 */
class ServerSelectorPreferenceTests {

	private final Set<String> disliked = new HashSet<>();

	private final Set<String> forbidden = new HashSet<>();

	private final ServerTable servers = new ServerTable((terminating) -> {
	});

	private final PlacementRequest request = new PlacementRequest(new ServiceSpec("s", 0, Optional.empty()),
			DispatcherTestBase.ROUTE, 0, 0, 1_000_000, 1_000);

	private XnioWorker worker;

	private ServerSelector selector;

	@BeforeEach
	void createSelector() throws IOException {
		this.worker = Xnio.getInstance().createWorker(OptionMap.create(Options.WORKER_IO_THREADS, 1));
		GatewayContext context = new GatewayContext(GatewaySettings.builder("gateway-1", "dc-1").build(),
				this.worker.getIoThread(0), new DefaultByteBufferPool(true, 8 * 1024), new HeaderlessCallerProtocol(),
				new HeaderlessServerProtocol());
		PeerTable peers = new PeerTable(new ClusterMember("gateway-1", "dc-1", 1), 5);
		this.selector = new ServerSelector(context, this.servers, peers,
				new ServerRateLimits(context, this.servers, peers), new DataCentreReachabilityTracker(),
				PlacementCostFunctions.leastLoaded());
		List.of("a", "b")
			.forEach((id) -> this.servers
				.addOrUpdate(new ServerRegistration(id, "s", "127.0.0.1:1", "dc-1", 6, false, 0, 1), 0));
		this.selector.addGate(gate(true, this.disliked));
		this.selector.addGate(gate(false, this.forbidden));
	}

	@AfterEach
	void stopWorker() {
		this.worker.shutdownNow();
	}

	private static ServerGate gate(boolean preference, Set<String> objections) {
		return new ServerGate() {

			@Override
			public Optional<String> findObjection(ServerUse use, long nowMillis) {
				return Optional.of(use.server().id()).filter(objections::contains);
			}

			@Override
			public boolean isAdvisory() {
				return preference;
			}

		};
	}

	private void assertSelected(String... expected) {
		Optional<String> server = Optional.of(expected).filter((ids) -> ids.length > 0).map((ids) -> ids[0]);
		Function<Optional<ServerEntry>, Optional<String>> id = (entry) -> entry
			.map((selected) -> selected.registration.id());
		assertThat(id.apply(this.selector.selectServer(this.request, Set.of())), is(server));
		assertThat(id.apply(this.selector.selectServerForRetry(this.request, Set.of())), is(server));
	}

	@Test
	void withoutObjectionsTheFirstOfEqualServersIsSelected() {
		assertSelected("a");
	}

	@Test
	void otherServerIsPreferred() {
		this.disliked.add("a");
		assertSelected("b");
	}

	@Test
	void serverIsUsedAllTheSameIfThereIsNoOtherOne() {
		this.disliked.addAll(Set.of("a", "b"));
		assertSelected("a");
		this.disliked.remove("b");
		this.forbidden.add("b");
		assertSelected("a");
	}

	@Test
	void serverThatFailedRecentlyIsNotPreferred() {
		this.disliked.add("a");
		this.servers.find("b").orElseThrow().recordConnectionFailure(System.nanoTime() / 1_000_000);
		assertSelected("a");
	}

	@Test
	void requiredConditionIsNeverGivenUp() {
		this.disliked.addAll(Set.of("a", "b"));
		this.forbidden.addAll(Set.of("a", "b"));
		assertSelected();
	}

	@Test
	void serverThatWasTriedIsNotSelectedAgainForPreference() {
		this.disliked.add("b");
		assertThat(this.selector.selectServer(this.request, Set.of("a")).orElseThrow().registration.id(), is("b"));
		assertThat(this.selector.selectServer(this.request, Set.of("a", "b")), is(Optional.empty()));
	}

}
