package org.skylarkspring.entry.internal;

import java.io.IOException;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.Executors;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import io.undertow.Undertow;
import io.undertow.UndertowOptions;
import io.undertow.server.DefaultByteBufferPool;
import io.undertow.server.HttpHandler;
import org.slf4j.Logger;
import org.slf4j.LoggerFactory;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

import org.skylarkspring.core.DecisionCore;
import org.skylarkspring.core.event.Event;
import org.skylarkspring.entry.EntrySettings;
import org.skylarkspring.entry.http.HttpCaller;
import org.skylarkspring.entry.http.HttpConnections;

/**
 * Builds the parts of one entry instance and runs them.
 */
public final class EntryRuntime {

	private static final Logger logger = LoggerFactory.getLogger("skylarkspring.state");

	/** Connections accepted above the maximum, so that their requests can be refused. */
	private static final int SPARE_CONNECTIONS = 256;

	private static final int BUFFER_BYTES = 16 * 1024;

	private static final int REQUEST_HEAD_TIMEOUT_MILLIS = 10_000;

	private static final int IDLE_TIMEOUT_MILLIS = 120_000;

	private static final long RAMP_COPY_MILLIS = 500;

	/** Time for the last bytes of finished answers to leave. */
	private static final long FLUSH_MILLIS = 250;

	private final EntrySettings settings;

	private final CountDownLatch finished = new CountDownLatch(1);

	private final CountDownLatch stopped = new CountDownLatch(1);

	private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor((task) -> {
		Thread thread = new Thread(task, "control");
		thread.setDaemon(true);
		return thread;
	});

	private XnioWorker worker;

	private CoreLoop loop;

	private ControlState state;

	private PlatformSync platformSync;

	private Undertow callers;

	private Undertow control;

	private volatile boolean shuttingDown;

	/**
	 * Creates a runtime that is not started yet.
	 * @param settings the settings
	 */
	public EntryRuntime(EntrySettings settings) {
		this.settings = settings;
	}

	/**
	 * Binds the listeners and starts to serve.
	 */
	public void start() {
		this.worker = createWorker();
		EntryMetrics metrics = new EntryMetrics();
		HttpConnections connections = new HttpConnections(new DefaultByteBufferPool(true, BUFFER_BYTES));
		HttpCaller caller = new HttpCaller(this.worker, connections);
		PlatformClient platform = new PlatformClient(caller, this.settings.platformAddress(), metrics);
		StoreGateway store = new StoreGateway(platform);
		RequestRegistry registry = new RequestRegistry();
		ServiceDirectory directory = new ServiceDirectory();
		DecisionCore core = DecisionCore.builder(this.settings.instanceId(), this.settings.dataCentre())
			.seed(ThreadLocalRandom.current().nextLong())
			.build();
		this.loop = new CoreLoop(core, new ActionRunner(registry, store, caller, this.finished::countDown));
		store.connect(this.loop);
		this.state = new ControlState(this.loop::post, directory);
		PeerGossip gossip = new PeerGossip(this.settings, this.state, caller, metrics, this.scheduler);
		this.platformSync = new PlatformSync(this.settings, this.state, platform, this.scheduler, gossip::spread);
		EntryServices services = new EntryServices(this.settings, this.loop, registry, connections, metrics, directory);
		this.callers = listen(this.settings.callerAddress(),
				new ConnectionLimit(new CallerHandler(services, this::ready), this.settings.maximumConnections()));
		this.control = listen(this.settings.controlAddress(), new ControlHandler(services, this.state, gossip,
				this.platformSync, new Publisher(this.state, platform)));
		this.loop.start();
		this.platformSync.start();
		gossip.start();
		new LoadPoller(this.loop, caller, metrics, this.scheduler).start();
		this.scheduler.scheduleAtFixedRate(this::copyRamps, RAMP_COPY_MILLIS, RAMP_COPY_MILLIS, TimeUnit.MILLISECONDS);
		logger.info("instance {}: started, {}", this.settings.instanceId(), this.settings);
	}

	/**
	 * Stops taking new requests, finishes all open ones and stops.
	 */
	public void shutdownAndWait() {
		this.shuttingDown = true;
		this.loop.post(new Event.ShutdownRequested());
		try {
			this.finished.await();
			Thread.sleep(FLUSH_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		this.platformSync.stop();
		this.scheduler.shutdownNow();
		this.callers.stop();
		this.control.stop();
		this.loop.stop();
		this.worker.shutdownNow();
		logger.info("instance {}: stopped", this.settings.instanceId());
		this.stopped.countDown();
	}

	/**
	 * Waits until the instance has stopped.
	 * @throws InterruptedException if the thread is interrupted
	 */
	public void awaitStopped() throws InterruptedException {
		this.stopped.await();
	}

	private void copyRamps() {
		this.loop.query((core) -> {
			this.state.ramps(core.warmupRecords(), core.unfinishedWarmupRecords());
			return true;
		});
	}

	private boolean ready() {
		return !this.shuttingDown && this.state.revision() > 0 && this.state.instances().version() > 0;
	}

	private XnioWorker createWorker() {
		try {
			return Xnio.getInstance()
				.createWorker(OptionMap.builder()
					.set(Options.WORKER_IO_THREADS, this.settings.ioThreads())
					.set(Options.WORKER_TASK_CORE_THREADS, 1)
					.set(Options.WORKER_TASK_MAX_THREADS, 2)
					.set(Options.TCP_NODELAY, true)
					.set(Options.THREAD_DAEMON, true)
					.getMap());
		}
		catch (IOException ex) {
			throw new IllegalStateException("I/O threads cannot be started", ex);
		}
	}

	private Undertow listen(String address, HttpHandler handler) {
		int colon = address.lastIndexOf(':');
		String host = address.substring(0, colon).replace("[", "").replace("]", "");
		Undertow server = Undertow.builder()
			.addHttpListener(Integer.parseInt(address.substring(colon + 1)), host)
			.setWorker(this.worker)
			.setServerOption(UndertowOptions.REQUEST_PARSE_TIMEOUT, REQUEST_HEAD_TIMEOUT_MILLIS)
			.setServerOption(UndertowOptions.NO_REQUEST_TIMEOUT, IDLE_TIMEOUT_MILLIS)
			.setServerOption(UndertowOptions.ALWAYS_SET_DATE, false)
			.setSocketOption(Options.CONNECTION_HIGH_WATER, this.settings.maximumConnections() + SPARE_CONNECTIONS)
			.setSocketOption(Options.CONNECTION_LOW_WATER, this.settings.maximumConnections() + SPARE_CONNECTIONS)
			.setSocketOption(Options.TCP_NODELAY, true)
			.setHandler(handler)
			.build();
		server.start();
		return server;
	}

}
