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
 * Stands in for the platform's object API: versioned objects, conditional updates,
 * watches and a rate limit. Faults are switched on by
 * {@code POST /fault?mode=...&millis=...} with the modes {@code outage},
 * {@code lose-answers}, {@code slow} and {@code none}.
 */
public final class ObjectApiStandIn implements HttpHandler {

	private static final String OBJECTS = "/objects/";

	private static final int READS_PER_SECOND = 2_000;

	private static final int WRITES_PER_SECOND = 500;

	private static final long SLOW_MILLIS = 800;

	private final Map<String, StoredObject> objects = new TreeMap<>();

	private final List<Watch> watches = new ArrayList<>();

	private final RateLimit reads = new RateLimit(READS_PER_SECOND);

	private final RateLimit writes = new RateLimit(WRITES_PER_SECOND);

	private long lastVersion;

	private String fault = "none";

	private long faultUntilNanos;

	/**
	 * Starts the stand-in.
	 * @param address address to listen on
	 * @return the running server
	 */
	public static Undertow start(String address) {
		return StandInServer.start(address, new ObjectApiStandIn());
	}

	@Override
	public void handleRequest(HttpServerExchange exchange) {
		String path = exchange.getRequestPath();
		if (path.equals("/fault")) {
			setFault(exchange);
			return;
		}
		if (!path.startsWith(OBJECTS)) {
			StandInServer.send(exchange, 404, Map.of());
			return;
		}
		String mode = activeFault();
		if (mode.equals("outage")) {
			StandInServer.send(exchange, 503, Map.of());
			return;
		}
		if (mode.equals("slow")) {
			exchange.dispatch(SameThreadExecutor.INSTANCE, () -> exchange.getIoThread()
				.executeAfter(() -> serve(exchange, mode), SLOW_MILLIS, TimeUnit.MILLISECONDS));
			return;
		}
		serve(exchange, mode);
	}

	private void serve(HttpServerExchange exchange, String mode) {
		String key = exchange.getRequestPath().substring(OBJECTS.length());
		if (!exchange.getRequestMethod().equals(Methods.PUT)) {
			read(exchange, key);
			return;
		}
		exchange.getRequestReceiver().receiveFullString((ready, body) -> write(ready, key, body, mode));
	}

	private synchronized void read(HttpServerExchange exchange, String key) {
		if (!this.reads.allows()) {
			StandInServer.send(exchange, 429, Map.of());
			return;
		}
		StoredObject object = this.objects.get(key);
		long known = StandInServer.number(exchange, "watch", -1);
		long waitMillis = StandInServer.number(exchange, "waitMillis", 0);
		boolean unchanged = object == null || object.version() == known;
		if (known >= 0 && waitMillis > 0 && unchanged) {
			watch(exchange, key, waitMillis);
			return;
		}
		answer(exchange, object);
	}

	private void watch(HttpServerExchange exchange, String key, long waitMillis) {
		Watch watch = new Watch(exchange, key);
		this.watches.add(watch);
		exchange.dispatch(SameThreadExecutor.INSTANCE,
				() -> exchange.getIoThread().executeAfter(() -> endWatch(watch), waitMillis, TimeUnit.MILLISECONDS));
	}

	private synchronized void endWatch(Watch watch) {
		if (this.watches.remove(watch)) {
			answer(watch.exchange(), this.objects.get(watch.key()));
		}
	}

	private synchronized void write(HttpServerExchange exchange, String key, String body, String mode) {
		if (!this.writes.allows()) {
			StandInServer.send(exchange, 429, Map.of());
			return;
		}
		long expected = StandInServer.number(exchange, "version", 0);
		StoredObject current = this.objects.get(key);
		long currentVersion = (current != null) ? current.version() : 0;
		if (expected != currentVersion) {
			if (current == null) {
				StandInServer.send(exchange, 404, Map.of());
				return;
			}
			StandInServer.send(exchange, 409, current);
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
		StandInServer.send(exchange, 200, Map.of("version", written.version()));
	}

	private void notifyWatches(String key) {
		Iterator<Watch> iterator = this.watches.iterator();
		while (iterator.hasNext()) {
			Watch watch = iterator.next();
			if (watch.key().equals(key)) {
				iterator.remove();
				watch.exchange().getIoThread().execute(() -> answerLatest(watch));
			}
		}
	}

	private synchronized void answerLatest(Watch watch) {
		answer(watch.exchange(), this.objects.get(watch.key()));
	}

	private static void answer(HttpServerExchange exchange, StoredObject object) {
		StandInServer.send(exchange, (object != null) ? 200 : 404, (object != null) ? object : Map.of());
	}

	private synchronized void setFault(HttpServerExchange exchange) {
		this.fault = StandInServer.query(exchange, "mode").orElse("none");
		long millis = StandInServer.number(exchange, "millis", 0);
		this.faultUntilNanos = System.nanoTime() + TimeUnit.MILLISECONDS.toNanos(millis);
		StandInServer.send(exchange, 200, Map.of("mode", this.fault));
	}

	private synchronized String activeFault() {
		return (System.nanoTime() < this.faultUntilNanos) ? this.fault : "none";
	}

	private record StoredObject(long version, JsonElement value) {
	}

	private record Watch(HttpServerExchange exchange, String key) {
	}

	private static final class RateLimit {

		private final int perSecond;

		private double tokens;

		private long lastNanos = System.nanoTime();

		private RateLimit(int perSecond) {
			this.perSecond = perSecond;
			this.tokens = perSecond;
		}

		private boolean allows() {
			long now = System.nanoTime();
			double elapsedSeconds = (now - this.lastNanos) / 1e9;
			this.tokens = Math.min(this.perSecond, this.tokens + elapsedSeconds * this.perSecond);
			this.lastNanos = now;
			if (this.tokens < 1) {
				return false;
			}
			this.tokens--;
			return true;
		}

	}

}
