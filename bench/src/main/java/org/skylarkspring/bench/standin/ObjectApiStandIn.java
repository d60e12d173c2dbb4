package org.skylarkspring.bench.standin;

import java.util.ArrayList;
import java.util.Iterator;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;
import java.util.concurrent.TimeUnit;

import com.google.gson.JsonElement;
import com.google.gson.JsonParser;
import io.undertow.Undertow;
import io.undertow.server.HttpHandler;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.Methods;
import io.undertow.util.SameThreadExecutor;
import org.xnio.IoUtils;

/**
 * Stand-in for the platform's object API: versioned objects, conditional updates, watches
 * and rate limits. Faults are injected for a given time with
 * {@code POST /fault?mode=...&millis=...}: {@code outage} responds to all object requests
 * with status 503, {@code lose-answers} applies writes but closes the connection without
 * a response, {@code slow} delays all requests, and {@code none} ends the fault.
 */
public final class ObjectApiStandIn implements HttpHandler {

	private static final String OBJECTS_PATH = "/objects/";

	private static final int READS_PER_SECOND = 2_000;

	private static final int WRITES_PER_SECOND = 500;

	private static final long SLOW_RESPONSE_DELAY_MILLIS = 800;

	private final Map<String, StoredObject> objects = new TreeMap<>();

	private final List<Watch> watches = new ArrayList<>();

	private final TokenBucketRateLimiter readLimiter = new TokenBucketRateLimiter(READS_PER_SECOND);

	private final TokenBucketRateLimiter writeLimiter = new TokenBucketRateLimiter(WRITES_PER_SECOND);

	private long lastVersion;

	private String faultMode = "none";

	private long faultUntilNanos;

	/**
	 * Starts the stand-in.
	 * @param address host and port to listen on
	 * @return the running server
	 */
	public static Undertow start(String address) {
		return StandInServer.start(address, new ObjectApiStandIn());
	}

	@Override
	public void handleRequest(HttpServerExchange exchange) {
		String path = exchange.getRequestPath();
		if (path.equals("/fault")) {
			injectFault(exchange);
			return;
		}
		if (!path.startsWith(OBJECTS_PATH)) {
			StandInServer.sendJson(exchange, 404, Map.of());
			return;
		}
		String mode = activeFault();
		if (mode.equals("outage")) {
			StandInServer.sendJson(exchange, 503, Map.of());
			return;
		}
		if (mode.equals("slow")) {
			exchange.dispatch(SameThreadExecutor.INSTANCE, () -> exchange.getIoThread()
				.executeAfter(() -> serve(exchange, mode), SLOW_RESPONSE_DELAY_MILLIS, TimeUnit.MILLISECONDS));
			return;
		}
		serve(exchange, mode);
	}

	private void serve(HttpServerExchange exchange, String mode) {
		String key = exchange.getRequestPath().substring(OBJECTS_PATH.length());
		if (!exchange.getRequestMethod().equals(Methods.PUT)) {
			read(exchange, key);
			return;
		}
		exchange.getRequestReceiver()
			.receiveFullString((requestExchange, body) -> write(requestExchange, key, body, mode));
	}

	private synchronized void read(HttpServerExchange exchange, String key) {
		if (!this.readLimiter.tryAcquire()) {
			StandInServer.sendJson(exchange, 429, Map.of());
			return;
		}
		StoredObject object = this.objects.get(key);
		long knownVersion = StandInServer.longQueryParameter(exchange, "watch", -1);
		long waitMillis = StandInServer.longQueryParameter(exchange, "waitMillis", 0);
		boolean unchanged = object == null || object.version() == knownVersion;
		if (knownVersion >= 0 && waitMillis > 0 && unchanged) {
			registerWatch(exchange, key, waitMillis);
			return;
		}
		respond(exchange, object);
	}

	private void registerWatch(HttpServerExchange exchange, String key, long waitMillis) {
		Watch watch = new Watch(exchange, key);
		this.watches.add(watch);
		exchange.dispatch(SameThreadExecutor.INSTANCE, () -> exchange.getIoThread()
			.executeAfter(() -> completeWatch(watch), waitMillis, TimeUnit.MILLISECONDS));
	}

	private synchronized void completeWatch(Watch watch) {
		if (this.watches.remove(watch)) {
			respond(watch.exchange(), this.objects.get(watch.key()));
		}
	}

	private synchronized void write(HttpServerExchange exchange, String key, String body, String mode) {
		if (!this.writeLimiter.tryAcquire()) {
			StandInServer.sendJson(exchange, 429, Map.of());
			return;
		}
		long expectedVersion = StandInServer.longQueryParameter(exchange, "version", 0);
		StoredObject current = this.objects.get(key);
		long currentVersion = (current != null) ? current.version() : 0;
		if (expectedVersion != currentVersion) {
			if (current == null) {
				StandInServer.sendJson(exchange, 404, Map.of());
				return;
			}
			StandInServer.sendJson(exchange, 409, current);
			return;
		}
		this.lastVersion++;
		StoredObject written = new StoredObject(this.lastVersion, JsonParser.parseString(body));
		this.objects.put(key, written);
		notifyWatches(key);
		if (mode.equals("lose-answers")) {
			IoUtils.safeClose(exchange.getConnection());
			return;
		}
		StandInServer.sendJson(exchange, 200, Map.of("version", written.version()));
	}

	private void notifyWatches(String key) {
		Iterator<Watch> iterator = this.watches.iterator();
		while (iterator.hasNext()) {
			Watch watch = iterator.next();
			if (watch.key().equals(key)) {
				iterator.remove();
				watch.exchange().getIoThread().execute(() -> respondWithLatest(watch));
			}
		}
	}

	private synchronized void respondWithLatest(Watch watch) {
		respond(watch.exchange(), this.objects.get(watch.key()));
	}

	private static void respond(HttpServerExchange exchange, StoredObject object) {
		StandInServer.sendJson(exchange, (object != null) ? 200 : 404, (object != null) ? object : Map.of());
	}

	private synchronized void injectFault(HttpServerExchange exchange) {
		this.faultMode = StandInServer.queryParameter(exchange, "mode").orElse("none");
		long millis = StandInServer.longQueryParameter(exchange, "millis", 0);
		this.faultUntilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
		StandInServer.sendJson(exchange, 200, Map.of("mode", this.faultMode));
	}

	private synchronized String activeFault() {
		return (System.nanoTime() < this.faultUntilNanos) ? this.faultMode : "none";
	}

	private record StoredObject(long version, JsonElement value) {
	}

	private record Watch(HttpServerExchange exchange, String key) {
	}

	private static final class TokenBucketRateLimiter {

		private final int permitsPerSecond;

		private double availablePermits;

		private long lastRefillNanos = System.nanoTime();

		private TokenBucketRateLimiter(int permitsPerSecond) {
			this.permitsPerSecond = permitsPerSecond;
			this.availablePermits = permitsPerSecond;
		}

		private boolean tryAcquire() {
			long now = System.nanoTime();
			double elapsedSeconds = (now - this.lastRefillNanos) / 1e9;
			this.availablePermits = Math.min(this.permitsPerSecond,
					this.availablePermits + elapsedSeconds * this.permitsPerSecond);
			this.lastRefillNanos = now;
			if (this.availablePermits < 1) {
				return false;
			}
			this.availablePermits--;
			return true;
		}

	}

}
