package org.skylarkspring.gateway;

import java.io.IOException;
import java.net.InetSocketAddress;
import java.util.List;
import java.util.Map;
import java.util.Objects;
import java.util.function.Function;

import org.skylarkspring.gateway.http.HttpTextClient;
import org.skylarkspring.gateway.internal.GatewayRuntime;
import org.skylarkspring.gateway.port.CallerProtocol;
import org.skylarkspring.gateway.port.ObjectDecoder;
import org.skylarkspring.gateway.port.ObjectStore;
import org.skylarkspring.gateway.port.ServerProtocol;

/**
 * A gateway process: receives requests of callers and forwards them to backend servers
 * that the platform lists. <pre class="code">
 * Gateway gateway = Gateway.builder(settings)
 *     .callers(callerProtocol)
 *     .servers(serverProtocol)
 *     .store(storeFactory, objectDecoder)
 *     .build();
 * gateway.start();
 * </pre>
 */
public final class Gateway {

	private final GatewayRuntime runtime;

	private Gateway(GatewayRuntime runtime) {
		this.runtime = runtime;
	}

	/**
	 * Starts to build a gateway.
	 * @param settings settings of the process
	 * @return a builder
	 */
	public static Builder builder(GatewaySettings settings) {
		return new Builder(settings);
	}

	/** Starts to listen and to follow the platform. */
	public void start() {
		this.runtime.start();
	}

	/**
	 * Returns the addresses the gateway listens on.
	 * @return the addresses for callers, readiness, peers and metrics, in this order
	 */
	public List<InetSocketAddress> addresses() {
		return this.runtime.listenAddresses();
	}

	/**
	 * Shuts down gracefully.
	 * @param exit called when the process may end
	 */
	public void stop(Runnable exit) {
		this.runtime.stop(exit);
	}

	/**
	 * Records that the process settings were read again.
	 * @param changes settings that changed, by name
	 */
	public void logSettingsReload(Map<String, String> changes) {
		this.runtime.logSettingsReload(changes);
	}

	/**
	 * Builds a gateway.
	 */
	public static final class Builder {

		private final GatewaySettings settings;

		private CallerProtocol callerProtocol;

		private ServerProtocol serverProtocol;

		private Function<HttpTextClient, ObjectStore> storeFactory;

		private ObjectDecoder objectDecoder;

		private Builder(GatewaySettings settings) {
			this.settings = Objects.requireNonNull(settings, "settings");
		}

		/**
		 * Sets the protocol of the callers.
		 * @param protocol the protocol
		 * @return this builder
		 */
		public Builder callers(CallerProtocol protocol) {
			this.callerProtocol = protocol;
			return this;
		}

		/**
		 * Sets the protocol of the backend servers.
		 * @param protocol the protocol
		 * @return this builder
		 */
		public Builder servers(ServerProtocol protocol) {
			this.serverProtocol = protocol;
			return this;
		}

		/**
		 * Sets the platform's store.
		 * @param factory makes the client of the store
		 * @param objectDecoder reads its objects
		 * @return this builder
		 */
		public Builder store(Function<HttpTextClient, ObjectStore> factory, ObjectDecoder objectDecoder) {
			this.storeFactory = factory;
			this.objectDecoder = objectDecoder;
			return this;
		}

		/**
		 * Builds the gateway.
		 * @return the gateway
		 * @throws IOException if its thread can't be made
		 */
		public Gateway build() throws IOException {
			return new Gateway(new GatewayRuntime(this.settings, Objects.requireNonNull(this.callerProtocol, "callers"),
					Objects.requireNonNull(this.serverProtocol, "servers"),
					Objects.requireNonNull(this.storeFactory, "store"),
					Objects.requireNonNull(this.objectDecoder, "decoder")));
		}

	}

}
