package org.skylarkspring.gateway.internal;

import io.undertow.connector.ByteBufferPool;
import org.xnio.XnioIoThread;

import org.skylarkspring.gateway.GatewaySettings;
import org.skylarkspring.gateway.http.TextClient;
import org.skylarkspring.gateway.port.CallerProtocol;
import org.skylarkspring.gateway.port.ServerProtocol;

/**
 * What all parts of a gateway share.
 */
final class GatewayContext {

	final GatewaySettings settings;

	final XnioIoThread ioThread;

	final ByteBufferPool buffers;

	final CallerProtocol callers;

	final ServerProtocol servers;

	final TextClient client;

	final TimeSource time;

	final DecisionLog log = new DecisionLog();

	final GatewayMetrics metrics = new GatewayMetrics();

	GatewayContext(GatewaySettings settings, XnioIoThread ioThread, ByteBufferPool buffers, CallerProtocol callers,
			ServerProtocol servers) {
		this.settings = settings;
		this.ioThread = ioThread;
		this.buffers = buffers;
		this.callers = callers;
		this.servers = servers;
		this.client = new TextClient(ioThread, buffers);
		this.time = new IoThreadTime(ioThread);
	}

}
