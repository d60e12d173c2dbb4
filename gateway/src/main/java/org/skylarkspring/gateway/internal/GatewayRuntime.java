package org.skylarkspring.gateway.internal;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Function;
import java.util.stream.Stream;

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
import org.skylarkspring.gateway.http.HttpTextClient;
import org.skylarkspring.gateway.model.ObjectKind;
import org.skylarkspring.gateway.placement.DataCentreReachabilityTracker;
import org.skylarkspring.gateway.placement.PlacementCostFunctions;
import org.skylarkspring.gateway.policy.ClusterMember;
import org.skylarkspring.gateway.port.CallerProtocol;
import org.skylarkspring.gateway.port.ObjectDecoder;
import org.skylarkspring.gateway.port.ObjectStore;
import org.skylarkspring.gateway.port.ServerProtocol;

/**
 * Creates and connects the components of a gateway. A single I/O thread owns all
 * connections and state, so that no locks are needed.
 */
public final class GatewayRuntime {

	private static final int BUFFER_BYTES = 8 * 1024;

	/**
	 * Maximum duration of a watch of the server list. A lost connection is detected only
	 * when this time has passed; a shorter time costs more requests to the store.
	 */
	private static final long SERVER_WATCH_TIMEOUT_MILLIS = 4_000;

	private static final long EVACUATION_WATCH_TIMEOUT_MILLIS = 4_000;

	private static final long INSTANCE_WATCH_TIMEOUT_MILLIS = 15_000;

	private static final long PROMPT_CRASH_WATCH_TIMEOUT_MILLIS = 8_000;

	private static final int ROLLOUT_WATCHES_PER_TOUCH = 4;

	private static final long TICK_INTERVAL_MILLIS = 100;

	private static final int OK = 200;

	private static final int SERVICE_UNAVAILABLE = 503;

	private static final int LISTEN_BACKLOG = 512;

	private final GatewayContext context;

	private final ObjectStore store;

	private final RelayedObjectStore relayedStore;

	private final StoreRelayHandler storeRelay;

	private final ObjectDecoder decoder;

	private final XnioWorker worker;

	private final ConfigurationPoller configuration;

	private final ServerTable servers;

	private final PeerTable peers;

	private final ServerRateLimits serverRateLimits;

	private final DataCentreReachabilityTracker reachability = new DataCentreReachabilityTracker();

	private final ServerSelector serverSelector;

	private final ActiveRequestRegistry activeRequests;

	private final CrashQuarantine crashQuarantine;

	private final RequestDispatcher dispatcher;

	private final GenerationMigrator migrator;

	private final RequestAdmission admission;

	private final Lifecycle lifecycle;

	private final PeerLoadSynchronizer peerLoadSynchronizer;

	private final InstanceRegistry instanceRegistry;

	/** Empty on deployments without rollouts, where nothing reads or watches them. */
	private final Optional<RolloutCoordinator> rollouts;

	private final CallerConnectionTracker connections = new CallerConnectionTracker();

	private final CallerBodies bodies;

	private final InstanceMemory memory;

	private Undertow httpServer;

	private CallerListener callerListener;

	private CallerTimeoutSystem callerTimeouts;

	/**
	 * Creates a gateway without starting it.
	 * @param settings the settings
	 * @param callerProtocol protocol of the callers
	 * @param serverProtocol protocol of the backend servers
	 * @param storeFactory creates the client of the object store
	 * @param decoder decodes the objects of the store
	 * @throws IOException if the I/O thread cannot be created
	 */
	public GatewayRuntime(GatewaySettings settings, CallerProtocol callerProtocol, ServerProtocol serverProtocol,
			Function<HttpTextClient, ObjectStore> storeFactory, ObjectDecoder decoder) throws IOException {
		this.worker = Xnio.getInstance()
			.createWorker(OptionMap.builder()
				.set(Options.WORKER_IO_THREADS, 1)
				.set(Options.WORKER_TASK_CORE_THREADS, 1)
				.set(Options.WORKER_TASK_MAX_THREADS, 1)
				.set(Options.TCP_NODELAY, true)
				.getMap());
		DefaultByteBufferPool buffers = new DefaultByteBufferPool(true, BUFFER_BYTES, -1, 4);
		this.context = new GatewayContext(settings, this.worker.getIoThread(0), buffers, callerProtocol,
				serverProtocol);
		this.store = storeFactory.apply(this.context.client);
		this.decoder = decoder;
		this.peers = new PeerTable(new ClusterMember(settings.instanceId(), settings.dataCentre(), settings.cores()),
				settings.coldBurstAllowance());
		this.servers = new ServerTable(this::onServerTerminating);
		this.serverRateLimits = new ServerRateLimits(this.context, this.servers, this.peers);
		this.peerLoadSynchronizer = new PeerLoadSynchronizer(this.context, this.peers, this.servers,
				this.serverRateLimits);
		this.peerLoadSynchronizer.addParticipant(this.context.serverPaces);
		this.serverRateLimits.setChangeListener(this.peerLoadSynchronizer::scheduleReport);
		this.relayedStore = new RelayedObjectStore(this.store,
				new HttpRelayClient(this.context.client, this.context.log), this.context.scheduler, this.context.log,
				this.peers, this.peerLoadSynchronizer::createOwnReport);
		this.configuration = new ConfigurationPoller(this.relayedStore::read, this.relayedStore::readDirectly, decoder,
				this.context.scheduler, this.context.log, settings.revocationMillis());
		this.storeRelay = new StoreRelayHandler(settings.instanceId(), this.context.scheduler, this.context.log,
				this.configuration, this.peerLoadSynchronizer::applyReport);
		this.serverSelector = new ServerSelector(this.context, this.servers, this.peers, this.serverRateLimits,
				this.reachability, PlacementCostFunctions.paceAware());
		this.serverSelector.addGate(this.context.outstandingBodies);
		this.peerLoadSynchronizer.addParticipant(this.serverSelector.traffic());
		this.peerLoadSynchronizer.addParticipant(this.context.outstandingBodies);
		this.activeRequests = new ActiveRequestRegistry(this.context, this.configuration);
		this.memory = new InstanceMemory(this.context, this.activeRequests);
		this.crashQuarantine = new CrashQuarantine(this.context, this.store, this.activeRequests);
		this.servers.setReplacementListener(this.crashQuarantine::onServerReplaced);
		this.dispatcher = new RequestDispatcher(this.context, this.configuration, this.serverSelector,
				new RetryBudgets(settings, this.context.scheduler, this.peers), this.reachability, this.activeRequests,
				this.crashQuarantine, this.serverRateLimits);
		this.migrator = new GenerationMigrator(this.context, this.dispatcher, this.activeRequests, this.serverSelector);
		this.dispatcher.setMigrator(this.migrator);
		this.dispatcher.outcomes().setLeavingListener(this::onServerLeaving);
		this.admission = new RequestAdmission(this.context, this.configuration, this.serverSelector,
				this.activeRequests, this.dispatcher, this.peers);
		this.activeRequests.setEndListener((request) -> {
			this.migrator.onRequestEnded(request);
			this.admission.onRequestEnded(request);
		});
		this.bodies = new CallerBodies(this.context.scheduler);
		this.lifecycle = new Lifecycle(this.context.scheduler, this.context.log, settings.shutdownGraceMillis(),
				this.configuration, this.servers);
		this.instanceRegistry = new InstanceRegistry(this.context, this.store, this.peers);
		connectAdmission();
		this.dispatcher.setPeerLoadCallbacks(this.peerLoadSynchronizer::refreshLoadsThen,
				this.peerLoadSynchronizer::scheduleReport);
		this.rollouts = settings.rollout()
			.map((bounds) -> new RolloutCoordinator(this.context, this.store, decoder, this.peers, this.servers, bounds,
					this::migrateFromServer, this.peerLoadSynchronizer::scheduleReport));
		this.rollouts.ifPresent(this::connectRollouts);
	}

	private void connectRollouts(RolloutCoordinator coordinator) {
		this.serverSelector.addGate(coordinator.gate());
		this.peerLoadSynchronizer.addParticipant(coordinator);
		this.dispatcher.setArrivalListener(coordinator::recordRequest);
		this.activeRequests.setAttemptListener(coordinator::recordOutcome);
	}

	private void connectAdmission() {
		this.dispatcher.setFirstDispatch(this.admission::start);
		this.dispatcher.streamRelay().setListeners(this.admission::onEvent, this.admission::onStreamComplete);
		this.activeRequests.setRetryAfterSource(this.admission::retryAfterMillis);
		this.admission.setLoadRefresher(this.peerLoadSynchronizer::scheduleReport);
		this.admission.setStartCondition((request) -> this.lifecycle.mayStart(request.route.semantics(),
				this.dispatcher.usualResponseMillis(request.route, request.service)));
		this.peerLoadSynchronizer.addParticipant(this.admission);
	}

	/** Starts the listeners and the background tasks. */
	public void start() {
		HttpHandler ingress = new IngressHandler(this.context, this.configuration, this.dispatcher, this.activeRequests,
				this.lifecycle, this.connections, this.bodies, this.memory);
		Undertow.Builder builder = CallerTimeoutSystem.configureListeners(Undertow.builder())
			.setWorker(this.worker)
			.setByteBufferPool(this.context.buffers)
			.setSocketOption(Options.BACKLOG, LISTEN_BACKLOG)
			.setSocketOption(Options.TCP_NODELAY, true);
		addListener(builder, this.context.settings.readinessAddress(), (exchange) -> {
			exchange.setStatusCode(this.lifecycle.isReady() ? OK : SERVICE_UNAVAILABLE);
			exchange.endExchange();
		});
		addListener(builder, this.context.settings.peerAddress(),
				Handlers.path(this.peerLoadSynchronizer::handleRequest)
					.addExactPath(StoreRelayHandler.PATH, this.storeRelay::handleRequest));
		addListener(builder, this.context.settings.metricsAddress(), metricsHandler());
		this.httpServer = builder.build();
		this.httpServer.start();
		this.callerListener = CallerListener.open(this.worker, this.context.buffers,
				toSocketAddress(this.context.settings.callerAddress()), LISTEN_BACKLOG,
				CallerTimeoutSystem.listenerOptions(), ingress);
		this.callerTimeouts = new CallerTimeoutSystem(this.context, this.configuration, this.connections,
				this.callerListener);
		this.context.log.logStateChange("started", Map.of("instance", this.context.settings.instanceId(), "data-centre",
				this.context.settings.dataCentre(), "callers", this.context.settings.callerAddress()));
		this.context.ioThread.execute(this::startBackgroundTasks);
	}

	private HttpHandler metricsHandler() {
		HttpHandler metrics = (exchange) -> {
			exchange.getResponseHeaders().put(Headers.CONTENT_TYPE, "text/plain; version=0.0.4");
			exchange.getResponseSender().send(java.nio.ByteBuffer.wrap(this.context.metrics.toPrometheusText()));
		};
		return this.rollouts
			.<HttpHandler>map((coordinator) -> Handlers.path(metrics)
				.addExactPath(RolloutPage.PATH,
						new RolloutPage(coordinator.table(), this.context.scheduler)::handleRequest))
			.orElse(metrics);
	}

	/**
	 * Starts a graceful shutdown: deregisters the instance, reports it as not ready,
	 * waits until all responses are written or the grace period is almost over, ends the
	 * remaining requests, and then exits. Has no effect if the shutdown has started.
	 * @param exit terminates the process
	 */
	public void stop(Runnable exit) {
		long signalledAtMillis = this.context.scheduler.nowMillis();
		this.context.ioThread.execute(() -> {
			if (this.lifecycle.isStopping()) {
				return;
			}
			this.instanceRegistry.deregister();
			this.lifecycle.startShutdown(signalledAtMillis, this.connections::activeCount, this::endRequests, exit);
		});
	}

	private void endRequests() {
		this.bodies.interruptAll();
		this.activeRequests.endAll("grace period of the shutdown is over");
	}

	/**
	 * Logs that the process settings were reloaded.
	 * @param changes changed settings and their new values
	 */
	public void logSettingsReload(Map<String, String> changes) {
		this.context.ioThread.execute(() -> this.context.log.logStateChange("settings reloaded", changes));
	}

	private static void addListener(Undertow.Builder builder, String address, HttpHandler handler) {
		InetSocketAddress socketAddress = toSocketAddress(address);
		builder.addHttpListener(socketAddress.getPort(), socketAddress.getHostString(), handler);
	}

	private static InetSocketAddress toSocketAddress(String address) {
		int colon = address.lastIndexOf(':');
		return new InetSocketAddress(address.substring(0, colon), Integer.parseInt(address.substring(colon + 1)));
	}

	private void startBackgroundTasks() {
		startWatch(ObjectKind.INSTANCES, INSTANCE_WATCH_TIMEOUT_MILLIS, this.instanceRegistry);
		this.instanceRegistry.runAfterFirstList(this::startReading);
		this.instanceRegistry.register();
		this.peerLoadSynchronizer.start();
		new ServerDrainProbe(this.context, this.configuration, this.servers).start();
		tick();
	}

	// Started when the relays are known, so that the store is read through them.
	private void startReading() {
		this.configuration.start();
		startWatch(ObjectKind.SERVERS, SERVER_WATCH_TIMEOUT_MILLIS,
				new ServerRegistrationListener(this.decoder, this.servers, this.context.scheduler,
						new InvalidObjectLog(this.context.log, this.context.metrics, ObjectKind.SERVERS)));
		startWatch(ObjectKind.EVACUATIONS, EVACUATION_WATCH_TIMEOUT_MILLIS,
				new EvacuationListener(this.context.scheduler, this.context.log, this.serverSelector));
		startWatch(ObjectKind.PROMPT_CRASHES, PROMPT_CRASH_WATCH_TIMEOUT_MILLIS, this.crashQuarantine.storeListener());
		// The age of an entry read through a relay is up to three of these times.
		this.rollouts.ifPresent((coordinator) -> startWatch(ObjectKind.ROLLOUTS,
				this.context.settings.rollout().orElseThrow().touchMillis() / ROLLOUT_WATCHES_PER_TOUCH, coordinator));
	}

	private void startWatch(ObjectKind kind, long watchTimeoutMillis, ObjectInformer.Listener listener) {
		WatchCache cache = this.storeRelay.cacheFor(kind);
		new ObjectInformer(this.relayedStore, this.context.scheduler, this.context.log, kind, watchTimeoutMillis,
				cache.listenerForwardingTo(listener))
			.start();
	}

	private void tick() {
		this.context.scheduler.schedule(TICK_INTERVAL_MILLIS, this::tick);
		long now = this.context.scheduler.nowMillis();
		this.servers.evictExpiredEntries(now);
		this.peers.applyLoadsTo(this.servers, now);
		this.dispatcher.streamRelay().logStalledStreams();
		this.callerTimeouts.tick(now);
		this.crashQuarantine.tick();
		this.memory.tick();
		this.rollouts.ifPresent(RolloutCoordinator::tick);
		this.context.metrics.recordState(this.servers.all().stream().filter(ServerEntry::acceptsRequests).count(),
				this.configuration.ageMillis());
		this.context.metrics
			.setLimitedServers(this.servers.all().stream().filter(this.serverRateLimits::isLimited).count());
	}

	private void onServerLeaving(ServerEntry entry) {
		if (this.servers.markLeaving(entry)) {
			this.context.metrics.recordDecision("server said that it leaves");
			this.peerLoadSynchronizer.scheduleReport();
		}
	}

	private void onServerTerminating(ServerEntry entry) {
		this.context.log.logStateChange("server terminating",
				Map.of("server", entry.registration.id(), "removed", entry.removed, "running", entry.attempts.size()));
		if (entry.removed) {
			this.crashQuarantine.onServerRemoved(entry.registration.incarnation());
		}
		if (!entry.attempts.isEmpty()) {
			this.peerLoadSynchronizer.refreshLoadsThen(() -> migrateFromServer(entry));
		}
	}

	// An exception must not end the update of the server table, which runs this.
	private void migrateFromServer(ServerEntry entry) {
		try {
			this.migrator.migrateFromServer(entry);
		}
		catch (RuntimeException ex) {
			this.context.log.logStateChange("generations of server could not be migrated",
					Map.of("server", entry.registration.id(), "error", String.valueOf(ex)));
		}
	}

	/**
	 * Returns the addresses that the gateway listens on.
	 * @return the addresses for callers, readiness, peers and metrics, in this order
	 */
	public List<InetSocketAddress> listenAddresses() {
		return Stream
			.concat(Stream.of(this.callerListener.address()),
					this.httpServer.getListenerInfo().stream().map((info) -> (InetSocketAddress) info.getAddress()))
			.toList();
	}

}
