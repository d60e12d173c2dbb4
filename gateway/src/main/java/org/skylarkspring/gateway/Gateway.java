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
 * Gateway process that receives requests from callers and forwards them to the backend
 * servers listed by the platform. <pre class="code">
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
	 * Creates a builder for a gateway.
	 * @param settings settings of the process
	 * @return the builder
	 */
	public static Builder builder(GatewaySettings settings) {
		return new Builder(settings);
	}

	/** Starts listening and synchronizing with the platform. */
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
	 * @param exit run once the process may exit
	 */
	public void stop(Runnable exit) {
		this.runtime.stop(exit);
	}

	/**
	 * Logs a reload of the process settings.
	 * @param changes changed settings, by name
	 */
	public void logSettingsReload(Map<String, String> changes) {
		this.runtime.logSettingsReload(changes);
	}

	/**
	 * Builder for a {@link Gateway}.
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
		 * Sets the protocol between callers and the gateway.
		 * @param protocol the protocol
		 * @return this builder
		 */
		public Builder callers(CallerProtocol protocol) {
			this.callerProtocol = protocol;
			return this;
		}

		/**
		 * Sets the protocol between the gateway and backend servers.
		 * @param protocol the protocol
		 * @return this builder
		 */
		public Builder servers(ServerProtocol protocol) {
			this.serverProtocol = protocol;
			return this;
		}

		/**
		 * Sets the client of the platform's object store.
		 * @param factory creates the client of the store
		 * @param objectDecoder decodes the objects of the store
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
		 * @throws IOException if the I/O thread cannot be created
		 */
		public Gateway build() throws IOException {
			return new Gateway(new GatewayRuntime(this.settings, Objects.requireNonNull(this.callerProtocol, "callers"),
					Objects.requireNonNull(this.serverProtocol, "servers"),
					Objects.requireNonNull(this.storeFactory, "store"),
					Objects.requireNonNull(this.objectDecoder, "decoder")));
		}

	}

}
