package org.skylarkspring.entry.internal;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.concurrent.ConcurrentHashMap;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ThreadLocalRandom;
import java.util.concurrent.TimeUnit;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.skylarkspring.core.model.DrainDirective;
import org.skylarkspring.core.model.InstanceRecord;
import org.skylarkspring.entry.EntrySettings;
import org.skylarkspring.entry.http.Json;

/**
 * Follows the platform's objects. Only a few instances of each data centre watch them;
 * the others learn of changes from peers and read the platform now and then.
 */
final class PlatformSync {

	static final String CONFIGURATION_KEY = "configuration";

	static final String INSTANCES_KEY = "instances";

	static final String DRAIN_DIRECTIVES_KEY = "directives";

	private static final Logger logger = LoggerFactory.getLogger("skylarkspring.state");

	private static final int WATCHERS_PER_DATA_CENTRE = 2;

	private static final long NO_KNOWN_VERSION = -1;

	private static final long WATCH_TIMEOUT_MILLIS = 20_000;

	/** Reads in a row of an older list after which it is taken. */
	private static final int OLDER_READS_BEFORE_ACCEPTANCE = 3;

	private static final long RETRY_DELAY_MILLIS = 1_000;

	private static final long NON_WATCHER_READ_INTERVAL_MILLIS = 60_000;

	private final EntrySettings settings;

	private final ControlState controlState;

	private final ObjectStore objectStore;

	private final ScheduledExecutorService scheduler;

	private final Runnable onStateChanged;

	private final ConfigurationFetcher configurationFetcher;

	private final ConfigurationWriter configurationWriter;

	private volatile int consecutiveOlderListReads;

	private volatile boolean platformReachable = true;

	private volatile boolean stopped;

	PlatformSync(EntrySettings settings, ControlState controlState, ObjectStore objectStore,
			ScheduledExecutorService scheduler, Runnable onStateChanged) {
		this.settings = settings;
		this.controlState = controlState;
		this.objectStore = objectStore;
		this.scheduler = scheduler;
		this.onStateChanged = onStateChanged;
		this.configurationFetcher = new ConfigurationFetcher(controlState);
		this.configurationWriter = new ConfigurationWriter(objectStore);
	}

	void start() {
		List.of(INSTANCES_KEY, CONFIGURATION_KEY, DRAIN_DIRECTIVES_KEY)
			.forEach((key) -> watchObject(key, NO_KNOWN_VERSION));
	}

	void stop() {
		this.stopped = true;
	}

	/**
	 * Writes directives that the platform does not hold yet.
	 */
	void saveDrainDirectives() {
		this.objectStore.read(DRAIN_DIRECTIVES_KEY).thenAccept((result) -> {
			long version = (result instanceof ObjectStoreResult.Found found) ? found.version() : 0;
			if (result instanceof ObjectStoreResult.Found || result instanceof ObjectStoreResult.NotFound) {
				parseDrainDirectives(result).ifPresent((list) -> this.controlState.applyIfNewer(list.directives()));
				writeDrainDirectives(version);
				return;
			}
			this.scheduler.schedule(this::saveDrainDirectives, RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
		});
	}

	private static Optional<DrainDirectiveList> parseDrainDirectives(ObjectStoreResult result) {
		return (result instanceof ObjectStoreResult.Found found) ? Json.read(found.json(), DrainDirectiveList.class)
				: Optional.empty();
	}

	private void writeDrainDirectives(long version) {
		String value = Json.write(new DrainDirectiveList(this.controlState.drainDirectives()));
		this.objectStore.write(DRAIN_DIRECTIVES_KEY, version, value).thenAccept((written) -> {
			if (!(written instanceof ObjectStoreResult.Written)) {
				this.scheduler.schedule(this::saveDrainDirectives, RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
			}
		});
	}

	private void watchObject(String key, long knownVersion) {
		if (this.stopped) {
			return;
		}
		boolean first = knownVersion == NO_KNOWN_VERSION;
		this.objectStore.watch(key, Math.max(0, knownVersion), first ? 0 : WATCH_TIMEOUT_MILLIS)
			.thenAccept((result) -> {
				updatePlatformReachability(!(result instanceof ObjectStoreResult.Unavailable
						|| result instanceof ObjectStoreResult.ResponseLost));
				applyObject(key, result);
				this.scheduler.schedule(() -> watchObject(key, nextKnownVersion(result, knownVersion)),
						nextReadDelayMillis(result), TimeUnit.MILLISECONDS);
			});
	}

	private static long nextKnownVersion(ObjectStoreResult result, long knownVersion) {
		if (result instanceof ObjectStoreResult.Found found) {
			return found.version();
		}
		return (result instanceof ObjectStoreResult.NotFound) ? 0 : knownVersion;
	}

	private long nextReadDelayMillis(ObjectStoreResult result) {
		boolean answered = result instanceof ObjectStoreResult.Found || result instanceof ObjectStoreResult.NotFound;
		if (!answered) {
			return withJitter(RETRY_DELAY_MILLIS);
		}
		return isWatcher() ? 1 : withJitter(NON_WATCHER_READ_INTERVAL_MILLIS);
	}

	private void applyObject(String key, ObjectStoreResult result) {
		if (!(result instanceof ObjectStoreResult.Found found)) {
			return;
		}
		if (key.equals(CONFIGURATION_KEY)) {
			Json.read(found.json(), ConfigurationManifest.class)
				.ifPresent((manifest) -> applyManifest(manifest, found.version()));
			return;
		}
		boolean news = switch (key) {
			case INSTANCES_KEY -> Json.read(found.json(), InstanceRecord[].class)
				.map((rows) -> applyInstanceList(List.of(rows), found.version()))
				.orElse(false);
			default -> parseDrainDirectives(found).map(this::mergeDrainDirectives).orElse(false);
		};
		if (news) {
			this.onStateChanged.run();
		}
	}

	// One older read may be stale; a store that keeps answering so has come back older.
	private boolean applyInstanceList(List<InstanceRecord> rows, long version) {
		long known = this.controlState.instanceList().version();
		this.consecutiveOlderListReads = (version < known) ? this.consecutiveOlderListReads + 1 : 0;
		if (this.consecutiveOlderListReads < OLDER_READS_BEFORE_ACCEPTANCE) {
			return this.controlState.applyIfNewer(new PeerMessages.InstanceList(version, rows));
		}
		this.consecutiveOlderListReads = 0;
		boolean differs = !rows.equals(this.controlState.instanceList().instances());
		return differs && this.controlState.applyIfNewer(new PeerMessages.InstanceList(known + 1, rows));
	}

	private void applyManifest(ConfigurationManifest stored, long version) {
		if (stored.revision() < this.controlState.revision()) {
			this.controlState.shardedConfiguration()
				.ifPresent((held) -> writeBackConfiguration(held, stored.revision(), version));
			return;
		}
		this.configurationFetcher.fetchAndApplyIfNewer(stored, this::readShards).thenAccept((applied) -> {
			if (applied) {
				this.onStateChanged.run();
			}
			else if (stored.revision() > this.controlState.revision()) {
				this.scheduler.schedule(() -> applyManifest(stored, version), RETRY_DELAY_MILLIS,
						TimeUnit.MILLISECONDS);
			}
		});
	}

	// Directives that the store does not hold, or holds no more, are written again.
	private boolean mergeDrainDirectives(DrainDirectiveList stored) {
		boolean news = this.controlState.applyIfNewer(stored.directives());
		if (!stored.directives().containsAll(this.controlState.drainDirectives())) {
			this.scheduler.execute(this::saveDrainDirectives);
		}
		return news;
	}

	private CompletableFuture<Map<String, String>> readShards(List<String> names) {
		Map<String, String> texts = new ConcurrentHashMap<>();
		CompletableFuture<?>[] reads = names.stream()
			.map((name) -> this.objectStore.read(ConfigurationWriter.shardKey(name)).thenAccept((result) -> {
				if (result instanceof ObjectStoreResult.Found found) {
					texts.put(name, found.json());
				}
			}))
			.toArray(CompletableFuture<?>[]::new);
		return CompletableFuture.allOf(reads).thenApply((done) -> texts);
	}

	// A store that came back with an older revision is brought up to date again.
	private void writeBackConfiguration(ShardedConfiguration held, long storedRevision, long version) {
		logger.warn("configuration: store holds revision {}, writing revision {} back", storedRevision,
				held.manifest().revision());
		this.configurationWriter.writeShards(held, Set.of()).thenAccept((sound) -> {
			if (sound) {
				this.configurationWriter.writeManifest(held, version);
			}
		});
	}

	private boolean isWatcher() {
		List<String> order = this.controlState.entryInstances()
			.stream()
			.filter((row) -> row.dataCentre().equals(this.settings.dataCentre()))
			.map(InstanceRecord::instanceId)
			.sorted(Comparator.naturalOrder())
			.limit(WATCHERS_PER_DATA_CENTRE)
			.toList();
		return order.isEmpty() || order.contains(this.settings.instanceId());
	}

	private void updatePlatformReachability(boolean now) {
		if (now != this.platformReachable) {
			this.platformReachable = now;
			logger.info("platform: {}", now ? "reached again" : "not reached");
		}
	}

	private static long withJitter(long millis) {
		return millis / 2 + ThreadLocalRandom.current().nextLong(millis);
	}

	/**
	 * Directives as the platform holds them.
	 *
	 * @param directives all directives
	 */
	record DrainDirectiveList(List<DrainDirective> directives) {
	}

}
