package org.skylarkspring.entry.internal;

import java.util.Comparator;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.ConcurrentHashMap;
import java.util.function.Consumer;

import org.skylarkspring.core.config.Configuration;
import org.skylarkspring.core.event.Event;
import org.skylarkspring.core.model.DrainDirective;
import org.skylarkspring.core.model.InstanceRecord;
import org.skylarkspring.core.model.InstanceRole;
import org.skylarkspring.core.model.WarmupRecord;

/**
 * Control knowledge of this instance that peers, platform and operators exchange. The
 * core holds the same facts; this copy may be read by any thread.
 */
final class ControlState {

	private final Consumer<Event> core;

	private final ServiceDirectory directory;

	private final Map<String, DrainDirective> directives = new ConcurrentHashMap<>();

	private volatile List<WarmupRecord> ramps = List.of();

	private volatile List<WarmupRecord> warmingRamps = List.of();

	private final Map<String, PeerMessages.Digest> peers = new ConcurrentHashMap<>();

	private volatile Optional<ShardedConfiguration> sharded = Optional.empty();

	private volatile PeerMessages.InstanceList instances = new PeerMessages.InstanceList(0, List.of());

	ControlState(Consumer<Event> core, ServiceDirectory directory) {
		this.core = core;
		this.directory = directory;
	}

	long revision() {
		return this.sharded.map((held) -> held.manifest().revision()).orElse(0L);
	}

	Optional<Configuration> configuration() {
		return this.sharded.map(ShardedConfiguration::configuration);
	}

	/**
	 * Applies a configuration if its revision is higher than the one in force.
	 * @param offered the configuration
	 * @return whether it was applied
	 */
	synchronized boolean offer(ShardedConfiguration offered) {
		if (offered.manifest().revision() <= revision()) {
			return false;
		}
		this.sharded = Optional.of(offered);
		this.directory.apply(offered.configuration());
		this.core.accept(new Event.ConfigurationReceived(offered.configuration()));
		return true;
	}

	Optional<ShardedConfiguration> sharded() {
		return this.sharded;
	}

	Map<String, String> shards() {
		return this.sharded.map(ShardedConfiguration::shards).orElse(Map.of());
	}

	PeerMessages.InstanceList instances() {
		return this.instances;
	}

	synchronized boolean offer(PeerMessages.InstanceList offered) {
		if (offered.version() <= this.instances.version()) {
			return false;
		}
		this.instances = offered;
		this.core.accept(new Event.InstancesListed(offered.instances()));
		return true;
	}

	List<InstanceRecord> entryInstances() {
		return this.instances.instances().stream().filter((row) -> row.role() == InstanceRole.ENTRY).toList();
	}

	/**
	 * Merges directives.
	 * @param offered the directives
	 * @return whether any of them was new
	 */
	synchronized boolean offer(List<DrainDirective> offered) {
		List<DrainDirective> newer = offered.stream().filter(this::newer).toList();
		newer.forEach((directive) -> this.directives.put(key(directive), directive));
		if (!newer.isEmpty()) {
			this.core.accept(new Event.DrainDirectivesReceived(newer));
		}
		return !newer.isEmpty();
	}

	List<DrainDirective> directives() {
		return this.directives.values().stream().sorted(Comparator.comparing(ControlState::key)).toList();
	}

	int directivesDigest() {
		return directives().hashCode();
	}

	/**
	 * Makes a directive that is newer than all known ones and merges it.
	 * @param kind kind of the target
	 * @param target name of the target
	 * @param drained whether the target must receive no new work
	 * @param origin this instance
	 * @return the directive
	 */
	synchronized DrainDirective issue(DrainDirective.TargetKind kind, String target, boolean drained, String origin) {
		long counter = this.directives.values().stream().mapToLong(DrainDirective::counter).max().orElse(0) + 1;
		DrainDirective directive = new DrainDirective(kind, target, drained, counter, origin);
		offer(List.of(directive));
		return directive;
	}

	void ramps(List<WarmupRecord> all, List<WarmupRecord> warming) {
		this.ramps = all;
		this.warmingRamps = warming;
	}

	List<WarmupRecord> ramps() {
		return this.ramps;
	}

	List<WarmupRecord> warmingRamps() {
		return this.warmingRamps;
	}

	void offerRamps(List<WarmupRecord> offered) {
		if (!offered.isEmpty()) {
			this.core.accept(new Event.WarmupRecordsReceived(offered));
		}
	}

	void seen(PeerMessages.Digest digest) {
		this.peers.put(digest.instanceId(), digest);
	}

	Map<String, PeerMessages.Digest> peers() {
		return this.peers;
	}

	private boolean newer(DrainDirective directive) {
		DrainDirective known = this.directives.get(key(directive));
		return known == null || directive.supersedes(known);
	}

	private static String key(DrainDirective directive) {
		return directive.targetKind() + "/" + directive.target();
	}

}
