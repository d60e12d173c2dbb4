package org.skylarkspring.gateway.internal;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.function.Function;

import io.undertow.Handlers;
import io.undertow.Undertow;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import io.undertow.util.Headers;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

import org.skylarkspring.gateway.GatewaySettings;
import org.skylarkspring.gateway.http.TextClient;
import org.skylarkspring.gateway.model.ObjectChange;
import org.skylarkspring.gateway.model.ObjectKind;
import org.skylarkspring.gateway.model.StoredObject;
import org.skylarkspring.gateway.policy.Member;
import org.skylarkspring.gateway.policy.PlacementCosts;
import org.skylarkspring.gateway.port.CallerProtocol;
import org.skylarkspring.gateway.port.ObjectDecoder;
import org.skylarkspring.gateway.port.ObjectStore;
import org.skylarkspring.gateway.port.ServerProtocol;

/**
 * Puts the parts of a gateway together. One I/O thread owns connections and state, so
 * that nothing needs a lock.
 */
public final class GatewayRuntime {

	private static final int BUFFER_BYTES = 8 * 1024;

	/** A silent watch is noticed by its end; shorter costs more calls. */
	private static final long SERVER_WATCH_MILLIS = 4_000;

	private static final long EVACUATION_WATCH_MILLIS = 4_000;

	private static final long INSTANCE_WATCH_MILLIS = 15_000;

	private static final long TICK_MILLIS = 100;

	private static final int OK = 200;

	private static final int UNAVAILABLE = 503;

	private static final int BACKLOG = 512;

	private final GatewayContext context;

	private final ObjectStore store;

	private final SharedStore sharedStore;

	private final StoreRelay storeRelay;

	private final ObjectDecoder decoder;

	private final XnioWorker worker;

	private final ConfigurationFeed configuration;

	private final ServerTable servers;

	private final PeerTable peers;

	private final DataCentreReach reach = new DataCentreReach();

	private final Placer placer;

	private final CallEndings endings;

	private final CallFlow flow;

	private final CarryOverSystem carryOvers;

	private final Lifecycle lifecycle;

	private final PeerExchange peerExchange;

	private final InstanceDirectory directory;

	private final CallerConnections connections = new CallerConnections();

	private final Set<String> evacuated = new HashSet<>();

	private Undertow server;

	private CallerLimitSystem callerLimits;

	/**
	 * Creates a gateway that is not started yet.
	 * @param settings the settings
	 * @param callers protocol of the callers
	 * @param serverProtocol protocol of the backend servers
	 * @param storeFactory makes the store's client
	 * @param decoder reads the store's objects
	 * @throws IOException if the I/O thread can't be made
	 */
	public GatewayRuntime(GatewaySettings settings, CallerProtocol callers, ServerProtocol serverProtocol,
			Function<TextClient, ObjectStore> storeFactory, ObjectDecoder decoder) throws IOException {
		this.worker = Xnio.getInstance()
			.createWorker(OptionMap.builder()
				.set(Options.WORKER_IO_THREADS, 1)
				.set(Options.WORKER_TASK_CORE_THREADS, 1)
				.set(Options.WORKER_TASK_MAX_THREADS, 1)
				.set(Options.TCP_NODELAY, true)
				.getMap());
		DefaultByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES, -1, 4);
		this.context = new GatewayContext(settings, this.worker.getIoThread(0), buffers, callers, serverProtocol);
		this.store = storeFactory.apply(this.context.client);
		this.decoder = decoder;
		this.peers = new PeerTable(new Member(settings.instanceId(), settings.dataCentre(), settings.cores()),
				settings.coldExtra());
		this.servers = new ServerTable(this::serverLeaves);
		this.peerExchange = new PeerExchange(this.context, this.peers, this.servers);
		this.sharedStore = new SharedStore(this.store, new HttpRelayCalls(this.context.client, this.context.log),
				this.context.time, this.context.log, this.peers, this.peerExchange::ownLoad);
		this.configuration = new ConfigurationFeed(this.sharedStore::read, this.sharedStore::readDirectly, decoder,
				this.context.time, this.context.log, settings.revocationMillis());
		this.storeRelay = new StoreRelay(settings.instanceId(), this.context.time, this.context.log, this.configuration,
				this.peerExchange::take);
		this.placer = new Placer(this.context, this.servers, this.peers, this.reach, PlacementCosts.leastLoaded());
		this.endings = new CallEndings(this.context, this.configuration);
		this.flow = new CallFlow(this.context, this.configuration, this.placer,
				new RetryBudgets(settings, this.context.time, this.peers), this.reach, this.endings);
		this.carryOvers = new CarryOverSystem(this.context, this.flow, this.endings, this.placer);
		this.flow.carryOvers(this.carryOvers);
		this.endings.onEnded(this.carryOvers::ended);
		this.lifecycle = new Lifecycle(this.context.time, this.context.log, settings.shutdownGraceMillis(),
				this.configuration, this.servers);
		this.directory = new InstanceDirectory(this.context, this.store, this.peers);
		this.flow.loadExchange(this.peerExchange::refresh, this.peerExchange::placed);
	}

	/** Starts the listeners and the feeds. */
	public void start() {
		HttpHandler ingress = new IngressHandler(this.context, this.configuration, this.flow, this.endings,
				this.lifecycle, this.connections);
		Undertow.Builder builder = CallerLimitSystem.withOptions(Undertow.builder())
			.setWorker(this.worker)
			.setByteBufferPool(this.context.buffers)
			.setSocketOption(Options.BACKLOG, BACKLOG)
			.setSocketOption(Options.TCP_NODELAY, true);
		listen(builder, this.context.settings.callerAddress(), ingress);
		listen(builder, this.context.settings.readyAddress(), (exchange) -> {
			exchange.setStatusCode(this.lifecycle.ready() ? OK : UNAVAILABLE);
			exchange.endExchange();
		});
		listen(builder, this.context.settings.peerAddress(),
				Handlers.path(this.peerExchange::receive).addExactPath(StoreRelay.PATH, this.storeRelay::receive));
		listen(builder, this.context.settings.metricsAddress(), (exchange) -> {
			exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain; version=0.0.4");
			exchange.getResponseSender().send(java.nio.ByteBuffer.wrap(this.context.metrics.text()));
		});
		this.server = builder.build();
		this.server.start();
		this.callerLimits = new CallerLimitSystem(this.context, this.configuration, this.connections,
				this.server.getListenerInfo().get(0));
		this.context.log.change("started", Map.of("instance", this.context.settings.instanceId(), "data-centre",
				this.context.settings.dataCentre(), "callers", this.context.settings.callerAddress()));
		this.context.ioThread.execute(this::startFeeds);
	}

	/**
	 * Shuts down in order: no new callers, then the end of what runs, then the process.
	 * @param exit ends the process
	 */
	public void stop(Runnable exit) {
		this.context.ioThread.execute(() -> {
			this.directory.leave();
			this.lifecycle.stop(() -> this.endings.calls().size(), exit);
		});
	}

	/**
	 * Writes a line about a change of the process settings.
	 * @param changes what changed
	 */
	public void settingsRead(Map<String, String> changes) {
		this.context.ioThread.execute(() -> this.context.log.change("settings read again", changes));
	}

	private static void listen(Undertow.Builder builder, String address, HttpHandler handler) {
		int colon = address.lastIndexOf(':');
		builder.addHttpListener(Integer.parseInt(address.substring(colon + 1)), address.substring(0, colon), handler);
	}

	private void startFeeds() {
		this.configuration.start();
		follow(ObjectKind.SERVERS, SERVER_WATCH_MILLIS, new ServerListener());
		follow(ObjectKind.EVACUATIONS, EVACUATION_WATCH_MILLIS, new EvacuationListener());
		follow(ObjectKind.INSTANCES, INSTANCE_WATCH_MILLIS, this.directory);
		this.directory.announce();
		this.peerExchange.start();
		new LeaveProbe(this.context, this.configuration, this.servers).start();
		tick();
	}

	private void follow(ObjectKind kind, long waitMillis, KindWatch.Listener listener) {
		KindCopy copy = this.storeRelay.copy(kind);
		new KindWatch(this.sharedStore, this.context.time, this.context.log, kind, waitMillis, copy.before(listener))
			.start();
	}

	private void tick() {
		long now = this.context.time.nowMillis();
		this.servers.tick(now);
		this.peers.addLoads(this.servers, now);
		this.flow.streams().reportStalls();
		this.callerLimits.tick(now);
		this.context.metrics.state(this.servers.all().stream().filter(ServerEntry::mayReceive).count(),
				this.configuration.ageMillis());
		this.context.time.after(TICK_MILLIS, this::tick);
	}

	private void serverLeaves(ServerEntry entry) {
		this.context.log.change("server leaves",
				Map.of("server", entry.listing.id(), "removed", entry.removed, "running", entry.attempts.size()));
		if (!entry.attempts.isEmpty()) {
			this.peerExchange.refresh(() -> this.carryOvers.serverLeaves(entry));
		}
	}

	/**
	 * Returns the addresses the gateway listens on.
	 * @return the addresses for callers, readiness, peers and metrics, in this order
	 */
	public List<InetSocketAddress> addresses() {
		return this.server.getListenerInfo().stream().map((info) -> (InetSocketAddress) info.getAddress()).toList();
	}

	/**
	 * Takes the list of backend servers.
	 */
	private final class ServerListener implements KindWatch.Listener {

		@Override
		public void listed(List<StoredObject> all, boolean afterOutage) {
			GatewayRuntime.this.servers.replaceAll(
					all.stream().flatMap((object) -> GatewayRuntime.this.decoder.server(object).stream()).toList(),
					afterOutage, GatewayRuntime.this.context.time.nowMillis());
		}

		@Override
		public void changed(ObjectChange change) {
			long now = GatewayRuntime.this.context.time.nowMillis();
			GatewayRuntime.this.decoder.server(change.object())
				.filter((listing) -> !change.deleted())
				.ifPresentOrElse((listing) -> GatewayRuntime.this.servers.put(listing, now),
						() -> GatewayRuntime.this.servers.remove(change.object().name(), now));
		}

	}

	/**
	 * Takes the list of data centres that are taken out.
	 */
	private final class EvacuationListener implements KindWatch.Listener {

		@Override
		public void listed(List<StoredObject> all, boolean afterOutage) {
			GatewayRuntime.this.evacuated.clear();
			all.forEach((object) -> GatewayRuntime.this.evacuated.add(object.name()));
			apply();
		}

		@Override
		public void changed(ObjectChange change) {
			if (change.deleted()) {
				GatewayRuntime.this.evacuated.remove(change.object().name());
			}
			else {
				GatewayRuntime.this.evacuated.add(change.object().name());
			}
			apply();
		}

		private void apply() {
			GatewayRuntime.this.placer.closeDataCentres(GatewayRuntime.this.evacuated);
			GatewayRuntime.this.context.log.change("data centres taken out",
					Map.of("data-centres", String.join(",", GatewayRuntime.this.evacuated)));
		}

	}

}
