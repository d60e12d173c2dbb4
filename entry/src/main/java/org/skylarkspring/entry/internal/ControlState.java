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

	private final Consumer<Event> eventSink;

	private final ServiceDirectory directory;

	private final Map<String, DrainDirective> drainDirectivesByTarget = new ConcurrentHashMap<>();

	private volatile List<WarmupRecord> warmupRecords = List.of();

	private volatile List<WarmupRecord> unfinishedWarmupRecords = List.of();

	private final Map<String, PeerMessages.GossipDigest> peerDigests = new ConcurrentHashMap<>();

	private volatile Optional<ShardedConfiguration> shardedConfiguration = Optional.empty();

	private volatile PeerMessages.InstanceList instanceList = new PeerMessages.InstanceList(0, List.of());

	ControlState(Consumer<Event> eventSink, ServiceDirectory directory) {
		this.eventSink = eventSink;
		this.directory = directory;
	}

	long revision() {
		return this.shardedConfiguration.map((held) -> held.manifest().revision()).orElse(0L);
	}

	Optional<Configuration> configuration() {
		return this.shardedConfiguration.map(ShardedConfiguration::configuration);
	}

	/**
	 * Applies a configuration if its revision is higher than the one in force.
	 * @param offered the configuration
	 * @return whether it was applied
	 */
	synchronized boolean applyIfNewer(ShardedConfiguration offered) {
		if (offered.manifest().revision() <= revision()) {
			return false;
		}
		this.shardedConfiguration = Optional.of(offered);
		this.directory.apply(offered.configuration());
		this.eventSink.accept(new Event.ConfigurationReceived(offered.configuration()));
		return true;
	}

	Optional<ShardedConfiguration> shardedConfiguration() {
		return this.shardedConfiguration;
	}

	Map<String, String> shards() {
		return this.shardedConfiguration.map(ShardedConfiguration::shards).orElse(Map.of());
	}

	PeerMessages.InstanceList instanceList() {
		return this.instanceList;
	}

	synchronized boolean applyIfNewer(PeerMessages.InstanceList offered) {
		if (offered.version() <= this.instanceList.version()) {
			return false;
		}
		this.instanceList = offered;
		this.eventSink.accept(new Event.InstancesListed(offered.instances()));
		return true;
	}

	List<InstanceRecord> entryInstances() {
		return this.instanceList.instances().stream().filter((row) -> row.role() == InstanceRole.ENTRY).toList();
	}

	/**
	 * Merges directives.
	 * @param offered the directives
	 * @return whether any of them was new
	 */
	synchronized boolean applyIfNewer(List<DrainDirective> offered) {
		List<DrainDirective> newer = offered.stream().filter(this::isNewer).toList();
		newer.forEach((directive) -> this.drainDirectivesByTarget.put(targetKey(directive), directive));
		if (!newer.isEmpty()) {
			this.eventSink.accept(new Event.DrainDirectivesReceived(newer));
		}
		return !newer.isEmpty();
	}

	List<DrainDirective> drainDirectives() {
		return this.drainDirectivesByTarget.values()
			.stream()
			.sorted(Comparator.comparing(ControlState::targetKey))
			.toList();
	}

	int drainDirectivesDigest() {
		return drainDirectives().hashCode();
	}

	/**
	 * Makes a directive that is newer than all known ones and merges it.
	 * @param kind kind of the target
	 * @param target name of the target
	 * @param drained whether the target must receive no new work
	 * @param origin this instance
	 * @return the directive
	 */
	synchronized DrainDirective issueDrainDirective(DrainDirective.TargetKind kind, String target, boolean drained,
			String origin) {
		long counter = this.drainDirectivesByTarget.values().stream().mapToLong(DrainDirective::counter).max().orElse(0)
				+ 1;
		DrainDirective directive = new DrainDirective(kind, target, drained, counter, origin);
		applyIfNewer(List.of(directive));
		return directive;
	}

	void warmupRecords(List<WarmupRecord> all, List<WarmupRecord> warming) {
		this.warmupRecords = all;
		this.unfinishedWarmupRecords = warming;
	}

	List<WarmupRecord> warmupRecords() {
		return this.warmupRecords;
	}

	List<WarmupRecord> unfinishedWarmupRecords() {
		return this.unfinishedWarmupRecords;
	}

	void forwardWarmupRecords(List<WarmupRecord> offered) {
		if (!offered.isEmpty()) {
			this.eventSink.accept(new Event.WarmupRecordsReceived(offered));
		}
	}

	void recordPeerDigest(PeerMessages.GossipDigest digest) {
		this.peerDigests.put(digest.instanceId(), digest);
	}

	Map<String, PeerMessages.GossipDigest> peerDigests() {
		return this.peerDigests;
	}

	private boolean isNewer(DrainDirective directive) {
		DrainDirective known = this.drainDirectivesByTarget.get(targetKey(directive));
		return known == null || directive.supersedes(known);
	}

	private static String targetKey(DrainDirective directive) {
		return directive.targetKind() + "/" + directive.target();
	}

}
