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

	static final String CONFIGURATION = "configuration";

	static final String INSTANCES = "instances";

	static final String DIRECTIVES = "directives";

	private static final Logger logger = LoggerFactory.getLogger("skylarkspring.state");

	private static final int WATCHERS_PER_DATA_CENTRE = 2;

	private static final long NEVER_READ = -1;

	private static final long WATCH_MILLIS = 20_000;

	/** Reads in a row of an older list after which it is taken. */
	private static final int OLDER_READS_BELIEVED = 3;

	private static final long RETRY_MILLIS = 1_000;

	private static final long OCCASIONAL_READ_MILLIS = 60_000;

	private final EntrySettings settings;

	private final ControlState state;

	private final ObjectStore platform;

	private final ScheduledExecutorService scheduler;

	private final Runnable learned;

	private final ConfigurationFetcher fetcher;

	private final ConfigurationWriter writer;

	private volatile int olderListReads;

	private volatile boolean platformReached = true;

	private volatile boolean stopped;

	PlatformSync(EntrySettings settings, ControlState state, ObjectStore platform, ScheduledExecutorService scheduler,
			Runnable learned) {
		this.settings = settings;
		this.state = state;
		this.platform = platform;
		this.scheduler = scheduler;
		this.learned = learned;
		this.fetcher = new ConfigurationFetcher(state);
		this.writer = new ConfigurationWriter(platform);
	}

	void start() {
		List.of(INSTANCES, CONFIGURATION, DIRECTIVES).forEach((key) -> follow(key, NEVER_READ));
	}

	void stop() {
		this.stopped = true;
	}

	/**
	 * Writes directives that the platform does not hold yet.
	 */
	void saveDirectives() {
		this.platform.read(DIRECTIVES).thenAccept((result) -> {
			long version = (result instanceof PlatformResult.Found found) ? found.version() : 0;
			if (result instanceof PlatformResult.Found || result instanceof PlatformResult.Absent) {
				stored(result).ifPresent((list) -> this.state.offer(list.directives()));
				saveDirectivesOver(version);
				return;
			}
			this.scheduler.schedule(this::saveDirectives, RETRY_MILLIS, TimeUnit.MILLISECONDS);
		});
	}

	private static Optional<DirectiveList> stored(PlatformResult result) {
		return (result instanceof PlatformResult.Found found) ? Json.read(found.json(), DirectiveList.class)
				: Optional.empty();
	}

	private void saveDirectivesOver(long version) {
		String value = Json.write(new DirectiveList(this.state.directives()));
		this.platform.write(DIRECTIVES, version, value).thenAccept((written) -> {
			if (!(written instanceof PlatformResult.Written)) {
				this.scheduler.schedule(this::saveDirectives, RETRY_MILLIS, TimeUnit.MILLISECONDS);
			}
		});
	}

	private void follow(String key, long knownVersion) {
		if (this.stopped) {
			return;
		}
		boolean first = knownVersion == NEVER_READ;
		this.platform.watch(key, Math.max(0, knownVersion), first ? 0 : WATCH_MILLIS).thenAccept((result) -> {
			reached(!(result instanceof PlatformResult.Unavailable || result instanceof PlatformResult.Lost));
			take(key, result);
			this.scheduler.schedule(() -> follow(key, version(result, knownVersion)), pauseMillis(result),
					TimeUnit.MILLISECONDS);
		});
	}

	private static long version(PlatformResult result, long knownVersion) {
		if (result instanceof PlatformResult.Found found) {
			return found.version();
		}
		return (result instanceof PlatformResult.Absent) ? 0 : knownVersion;
	}

	private long pauseMillis(PlatformResult result) {
		boolean answered = result instanceof PlatformResult.Found || result instanceof PlatformResult.Absent;
		if (!answered) {
			return jittered(RETRY_MILLIS);
		}
		return watcher() ? 1 : jittered(OCCASIONAL_READ_MILLIS);
	}

	private void take(String key, PlatformResult result) {
		if (!(result instanceof PlatformResult.Found found)) {
			return;
		}
		if (key.equals(CONFIGURATION)) {
			Json.read(found.json(), ConfigurationManifest.class)
				.ifPresent((manifest) -> takeManifest(manifest, found.version()));
			return;
		}
		boolean news = switch (key) {
			case INSTANCES -> Json.read(found.json(), InstanceRecord[].class)
				.map((rows) -> takeList(List.of(rows), found.version()))
				.orElse(false);
			default -> stored(found).map(this::takeDirectives).orElse(false);
		};
		if (news) {
			this.learned.run();
		}
	}

	// One older read may be stale; a store that keeps answering so has come back older.
	private boolean takeList(List<InstanceRecord> rows, long version) {
		long known = this.state.instances().version();
		this.olderListReads = (version < known) ? this.olderListReads + 1 : 0;
		if (this.olderListReads < OLDER_READS_BELIEVED) {
			return this.state.offer(new PeerMessages.InstanceList(version, rows));
		}
		this.olderListReads = 0;
		boolean differs = !rows.equals(this.state.instances().instances());
		return differs && this.state.offer(new PeerMessages.InstanceList(known + 1, rows));
	}

	private void takeManifest(ConfigurationManifest stored, long version) {
		if (stored.revision() < this.state.revision()) {
			this.state.sharded().ifPresent((held) -> writeBack(held, stored.revision(), version));
			return;
		}
		this.fetcher.apply(stored, this::readShards).thenAccept((applied) -> {
			if (applied) {
				this.learned.run();
			}
			else if (stored.revision() > this.state.revision()) {
				this.scheduler.schedule(() -> takeManifest(stored, version), RETRY_MILLIS, TimeUnit.MILLISECONDS);
			}
		});
	}

	// Directives that the store does not hold, or holds no more, are written again.
	private boolean takeDirectives(DirectiveList stored) {
		boolean news = this.state.offer(stored.directives());
		if (!stored.directives().containsAll(this.state.directives())) {
			this.scheduler.execute(this::saveDirectives);
		}
		return news;
	}

	private CompletableFuture<Map<String, String>> readShards(List<String> names) {
		Map<String, String> texts = new ConcurrentHashMap<>();
		CompletableFuture<?>[] reads = names.stream()
			.map((name) -> this.platform.read(ConfigurationWriter.shardKey(name)).thenAccept((result) -> {
				if (result instanceof PlatformResult.Found found) {
					texts.put(name, found.json());
				}
			}))
			.toArray(CompletableFuture<?>[]::new);
		return CompletableFuture.allOf(reads).thenApply((done) -> texts);
	}

	// A store that came back with an older revision is brought up to date again.
	private void writeBack(ShardedConfiguration held, long storedRevision, long version) {
		logger.warn("configuration: store holds revision {}, writing revision {} back", storedRevision,
				held.manifest().revision());
		this.writer.writeShards(held, Set.of()).thenAccept((sound) -> {
			if (sound) {
				this.writer.writeManifest(held, version);
			}
		});
	}

	private boolean watcher() {
		List<String> order = this.state.entryInstances()
			.stream()
			.filter((row) -> row.dataCentre().equals(this.settings.dataCentre()))
			.map(InstanceRecord::instanceId)
			.sorted(Comparator.naturalOrder())
			.limit(WATCHERS_PER_DATA_CENTRE)
			.toList();
		return order.isEmpty() || order.contains(this.settings.instanceId());
	}

	private void reached(boolean now) {
		if (now != this.platformReached) {
			this.platformReached = now;
			logger.info("platform: {}", now ? "reached again" : "not reached");
		}
	}

	private static long jittered(long millis) {
		return millis / 2 + ThreadLocalRandom.current().nextLong(millis);
	}

	/**
	 * Directives as the platform holds them.
	 *
	 * @param directives all directives
	 */
	record DirectiveList(List<DrainDirective> directives) {
	}

}
