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
import org.skylarkspring.entry.http.AsyncHttpClient;
import org.skylarkspring.entry.http.HttpConnectionPool;

/**
 * Creates the components of one entry instance and manages their lifecycle.
 */
public final class EntryRuntime {

	private static final Logger logger = LoggerFactory.getLogger("skylarkspring.state");

	/**
	 * Connections accepted above the maximum, so that their requests can be rejected with
	 * an error response.
	 */
	private static final int SPARE_CONNECTIONS = 256;

	private static final int BUFFER_BYTES = 16 * 1024;

	private static final int REQUEST_HEAD_TIMEOUT_MILLIS = 10_000;

	private static final int IDLE_TIMEOUT_MILLIS = 120_000;

	private static final long WARMUP_COPY_INTERVAL_MILLIS = 500;

	/**
	 * Delay before the listeners stop, so that finished responses are sent completely.
	 */
	private static final long RESPONSE_FLUSH_MILLIS = 250;

	private final EntrySettings settings;

	private final CountDownLatch requestsFinished = new CountDownLatch(1);

	private final CountDownLatch instanceStopped = new CountDownLatch(1);

	private final ScheduledExecutorService scheduler = Executors.newSingleThreadScheduledExecutor((task) -> {
		Thread thread = new Thread(task, "control");
		thread.setDaemon(true);
		return thread;
	});

	private XnioWorker worker;

	private CoreLoop coreLoop;

	private ControlState controlState;

	private PlatformSync platformSync;

	private Undertow callerServer;

	private Undertow controlServer;

	private volatile boolean shuttingDown;

	/**
	 * Creates a runtime that is not started yet.
	 * @param settings settings of the instance
	 */
	public EntryRuntime(EntrySettings settings) {
		this.settings = settings;
	}

	/**
	 * Opens the listeners and starts serving requests.
	 */
	public void start() {
		this.worker = createWorker();
		EntryMetrics metrics = new EntryMetrics();
		HttpConnectionPool connectionPool = new HttpConnectionPool(new DefaultByteBufferPool(true, BUFFER_BYTES));
		AsyncHttpClient httpClient = new AsyncHttpClient(this.worker, connectionPool);
		PlatformClient platformClient = new PlatformClient(httpClient, this.settings.platformAddress(), metrics);
		StoreActionExecutor storeActionExecutor = new StoreActionExecutor(platformClient);
		RequestRegistry requestRegistry = new RequestRegistry();
		ServiceDirectory serviceDirectory = new ServiceDirectory();
		DecisionCore core = DecisionCore.builder(this.settings.instanceId(), this.settings.dataCentre())
			.seed(ThreadLocalRandom.current().nextLong())
			.build();
		this.coreLoop = new CoreLoop(core,
				new ActionExecutor(requestRegistry, storeActionExecutor, httpClient, this.requestsFinished::countDown));
		storeActionExecutor.setCoreLoop(this.coreLoop);
		this.controlState = new ControlState(this.coreLoop::post, serviceDirectory);
		PeerGossip gossip = new PeerGossip(this.settings, this.controlState, httpClient, metrics, this.scheduler);
		this.platformSync = new PlatformSync(this.settings, this.controlState, platformClient, this.scheduler,
				gossip::gossipNow);
		EntryContext context = new EntryContext(this.settings, this.coreLoop, requestRegistry, connectionPool, metrics,
				serviceDirectory);
		this.callerServer = startListener(this.settings.callerAddress(), new ConnectionLimitHandler(
				new CallerHandler(context, this::isReady), this.settings.maximumConnections()));
		this.controlServer = startListener(this.settings.controlAddress(),
				new ControlHandler(context, this.controlState, gossip, this.platformSync,
						new ConfigurationPublisher(this.controlState, platformClient)));
		this.coreLoop.start();
		this.platformSync.start();
		gossip.start();
		new LoadPoller(this.coreLoop, httpClient, metrics, this.scheduler).start();
		this.scheduler.scheduleAtFixedRate(this::copyWarmupRecords, WARMUP_COPY_INTERVAL_MILLIS,
				WARMUP_COPY_INTERVAL_MILLIS, TimeUnit.MILLISECONDS);
		logger.info("instance {}: started, {}", this.settings.instanceId(), this.settings);
	}

	/**
	 * Rejects new requests, waits until all open requests have finished and stops the
	 * instance.
	 */
	public void shutdownAndWait() {
		this.shuttingDown = true;
		this.coreLoop.post(new Event.ShutdownRequested());
		try {
			this.requestsFinished.await();
			Thread.sleep(RESPONSE_FLUSH_MILLIS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
		this.platformSync.stop();
		this.scheduler.shutdownNow();
		this.callerServer.stop();
		this.controlServer.stop();
		this.coreLoop.stop();
		this.worker.shutdownNow();
		logger.info("instance {}: stopped", this.settings.instanceId());
		this.instanceStopped.countDown();
	}

	/**
	 * Waits until the instance has stopped.
	 * @throws InterruptedException if the thread is interrupted
	 */
	public void awaitStopped() throws InterruptedException {
		this.instanceStopped.await();
	}

	private void copyWarmupRecords() {
		this.coreLoop.query((core) -> {
			this.controlState.setWarmupRecords(core.warmupRecords(), core.unfinishedWarmupRecords());
			return true;
		});
	}

	private boolean isReady() {
		return !this.shuttingDown && this.controlState.revision() > 0 && this.controlState.instanceList().version() > 0;
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
			throw new IllegalStateException("failed to start the I/O threads", ex);
		}
	}

	private Undertow startListener(String address, HttpHandler handler) {
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
