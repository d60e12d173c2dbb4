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
 * Synchronizes the instance list, the configuration and the drain directives with the
 * platform's store. Only a few instances of each data centre watch the objects; the
 * others receive changes from peers and poll the store at a long interval.
 */
final class PlatformSync {

	static final String CONFIGURATION_KEY = "configuration";

	static final String INSTANCES_KEY = "instances";

	static final String DRAIN_DIRECTIVES_KEY = "directives";

	private static final Logger logger = LoggerFactory.getLogger("skylarkspring.state");

	private static final int WATCHERS_PER_DATA_CENTRE = 2;

	private static final long NO_KNOWN_VERSION = -1;

	private static final long WATCH_TIMEOUT_MILLIS = 20_000;

	/**
	 * Number of consecutive reads of an older instance list after which it is accepted.
	 */
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
	 * Merges the stored drain directives into the state of this instance and writes all
	 * known directives to the store. Retries until the write succeeds.
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
		this.objectStore.write(DRAIN_DIRECTIVES_KEY, version, value).thenAccept((result) -> {
			if (!(result instanceof ObjectStoreResult.Written)) {
				this.scheduler.schedule(this::saveDrainDirectives, RETRY_DELAY_MILLIS, TimeUnit.MILLISECONDS);
			}
		});
	}

	private void watchObject(String key, long knownVersion) {
		if (this.stopped) {
			return;
		}
		boolean firstRead = knownVersion == NO_KNOWN_VERSION;
		this.objectStore.watch(key, Math.max(0, knownVersion), firstRead ? 0 : WATCH_TIMEOUT_MILLIS)
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
		boolean changed = switch (key) {
			case INSTANCES_KEY -> Json.read(found.json(), InstanceRecord[].class)
				.map((instances) -> applyInstanceList(List.of(instances), found.version()))
				.orElse(false);
			default -> parseDrainDirectives(found).map(this::mergeDrainDirectives).orElse(false);
		};
		if (changed) {
			this.onStateChanged.run();
		}
	}

	// A single older read may be stale. A store that returns an older list repeatedly
	// was restored from an older state, so its list is accepted as the next version.
	private boolean applyInstanceList(List<InstanceRecord> instances, long version) {
		long knownVersion = this.controlState.instanceList().version();
		this.consecutiveOlderListReads = (version < knownVersion) ? this.consecutiveOlderListReads + 1 : 0;
		if (this.consecutiveOlderListReads < OLDER_READS_BEFORE_ACCEPTANCE) {
			return this.controlState.applyIfNewer(new PeerMessages.InstanceList(version, instances));
		}
		this.consecutiveOlderListReads = 0;
		boolean differs = !instances.equals(this.controlState.instanceList().instances());
		return differs && this.controlState.applyIfNewer(new PeerMessages.InstanceList(knownVersion + 1, instances));
	}

	private void applyManifest(ConfigurationManifest stored, long version) {
		if (stored.revision() < this.controlState.revision()) {
			this.controlState.shardedConfiguration()
				.ifPresent((currentConfiguration) -> writeBackConfiguration(currentConfiguration, stored.revision(),
						version));
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

	// Also writes back directives that are missing in the store or were lost there.
	private boolean mergeDrainDirectives(DrainDirectiveList stored) {
		boolean changed = this.controlState.applyIfNewer(stored.directives());
		if (!stored.directives().containsAll(this.controlState.drainDirectives())) {
			this.scheduler.execute(this::saveDrainDirectives);
		}
		return changed;
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
		return CompletableFuture.allOf(reads).thenApply((ignored) -> texts);
	}

	// Updates a store that was restored from an older state to the current revision.
	private void writeBackConfiguration(ShardedConfiguration currentConfiguration, long storedRevision, long version) {
		logger.warn("configuration: store has older revision {}, writing back revision {}", storedRevision,
				currentConfiguration.manifest().revision());
		this.configurationWriter.writeShards(currentConfiguration, Set.of()).thenAccept((shardsStored) -> {
			if (shardsStored) {
				this.configurationWriter.writeManifest(currentConfiguration, version);
			}
		});
	}

	private boolean isWatcher() {
		List<String> watchers = this.controlState.entryInstances()
			.stream()
			.filter((instance) -> instance.dataCentre().equals(this.settings.dataCentre()))
			.map(InstanceRecord::instanceId)
			.sorted(Comparator.naturalOrder())
			.limit(WATCHERS_PER_DATA_CENTRE)
			.toList();
		return watchers.isEmpty() || watchers.contains(this.settings.instanceId());
	}

	private void updatePlatformReachability(boolean reachable) {
		if (reachable != this.platformReachable) {
			this.platformReachable = reachable;
			logger.info("platform: {}", reachable ? "reachable again" : "unreachable, retrying");
		}
	}

	private static long withJitter(long millis) {
		return millis / 2 + ThreadLocalRandom.current().nextLong(millis);
	}

	/**
	 * Value of the drain directives object in the platform's store.
	 *
	 * @param directives all drain directives
	 */
	record DrainDirectiveList(List<DrainDirective> directives) {
	}

}
