package org.skylarkspring.gateway.internal;

import java.io.IOException;

import io.undertow.connector.ByteBufferPool;
import org.xnio.XnioIoThread;

import org.skylarkspring.gateway.GatewaySettings;
import org.skylarkspring.gateway.http.HttpConnector;
import org.skylarkspring.gateway.http.HttpTextClient;
import org.skylarkspring.gateway.pace.ServerPaces;
import org.skylarkspring.gateway.port.CallerProtocol;
import org.skylarkspring.gateway.port.ServerProtocol;
import org.skylarkspring.gateway.pressure.OutstandingBodies;

/**
 * Objects shared by all components of a gateway.
 */
final class GatewayContext {

	final GatewaySettings settings;

	final XnioIoThread ioThread;

	final ByteBufferPool buffers;

	final CallerProtocol callerProtocol;

	final ServerProtocol serverProtocol;

	final HttpConnector connector;

	final HttpTextClient client;

	final Scheduler scheduler;

	/** Starts requests, so that a burst of them does not delay those being served. */
	final TurnLimitedExecutor requestStarter;

	/** Request bodies that servers hold. */
	final OutstandingBodies outstandingBodies = new OutstandingBodies();

	final DecisionLog log = new DecisionLog();

	final GatewayMetrics metrics = new GatewayMetrics();

	final ServerPaces serverPaces = new ServerPaces();

	GatewayContext(GatewaySettings settings, XnioIoThread ioThread, ByteBufferPool buffers,
			CallerProtocol callerProtocol, ServerProtocol serverProtocol) throws IOException {
		this.settings = settings;
		this.ioThread = ioThread;
		this.buffers = buffers;
		this.callerProtocol = callerProtocol;
		this.serverProtocol = serverProtocol;
		this.connector = new HttpConnector(ioThread, buffers);
		this.client = new HttpTextClient(this.connector);
		this.scheduler = new IoThreadScheduler(ioThread);
		this.requestStarter = new TurnLimitedExecutor(ioThread);
	}

}
