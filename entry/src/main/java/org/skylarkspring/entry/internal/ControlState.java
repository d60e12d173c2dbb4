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
 * Control-plane state of this instance that is exchanged with peers, the platform and
 * operators. The core has the same data for its own thread; this copy is thread-safe.
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
		return this.shardedConfiguration.map((current) -> current.manifest().revision()).orElse(0L);
	}

	Optional<Configuration> configuration() {
		return this.shardedConfiguration.map(ShardedConfiguration::configuration);
	}

	/**
	 * Applies a configuration if its revision is higher than the current one.
	 * @param received the configuration
	 * @return whether it was applied
	 */
	synchronized boolean applyIfNewer(ShardedConfiguration received) {
		if (received.manifest().revision() <= revision()) {
			return false;
		}
		this.shardedConfiguration = Optional.of(received);
		this.directory.apply(received.configuration());
		this.eventSink.accept(new Event.ConfigurationReceived(received.configuration()));
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

	synchronized boolean applyIfNewer(PeerMessages.InstanceList received) {
		if (received.version() <= this.instanceList.version()) {
			return false;
		}
		this.instanceList = received;
		this.eventSink.accept(new Event.InstancesListed(received.instances()));
		return true;
	}

	List<InstanceRecord> entryInstances() {
		return this.instanceList.instances()
			.stream()
			.filter((instance) -> instance.role() == InstanceRole.ENTRY)
			.toList();
	}

	/**
	 * Applies the directives that supersede the known directive of their target.
	 * @param received the directives
	 * @return whether any directive was applied
	 */
	synchronized boolean applyIfNewer(List<DrainDirective> received) {
		List<DrainDirective> newer = received.stream().filter(this::isNewer).toList();
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
	 * Creates a directive that is newer than all known ones and applies it.
	 * @param kind kind of the target
	 * @param target name of the target
	 * @param drained whether the target must receive no new work
	 * @param origin identifier of this instance
	 * @return the new directive
	 */
	synchronized DrainDirective issueDrainDirective(DrainDirective.TargetKind kind, String target, boolean drained,
			String origin) {
		long counter = this.drainDirectivesByTarget.values().stream().mapToLong(DrainDirective::counter).max().orElse(0)
				+ 1;
		DrainDirective directive = new DrainDirective(kind, target, drained, counter, origin);
		applyIfNewer(List.of(directive));
		return directive;
	}

	void setWarmupRecords(List<WarmupRecord> allRecords, List<WarmupRecord> unfinishedRecords) {
		this.warmupRecords = allRecords;
		this.unfinishedWarmupRecords = unfinishedRecords;
	}

	List<WarmupRecord> warmupRecords() {
		return this.warmupRecords;
	}

	List<WarmupRecord> unfinishedWarmupRecords() {
		return this.unfinishedWarmupRecords;
	}

	void forwardWarmupRecords(List<WarmupRecord> received) {
		if (!received.isEmpty()) {
			this.eventSink.accept(new Event.WarmupRecordsReceived(received));
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
