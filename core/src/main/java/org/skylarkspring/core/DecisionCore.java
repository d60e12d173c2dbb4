package org.skylarkspring.core;

import java.util.List;
import java.util.Optional;

import org.skylarkspring.core.action.Action;
import org.skylarkspring.core.config.Configuration;
import org.skylarkspring.core.event.Event;
import org.skylarkspring.core.internal.CorePipeline;
import org.skylarkspring.core.model.CoreStatus;
import org.skylarkspring.core.model.DrainDirective;
import org.skylarkspring.core.model.InstanceRecord;
import org.skylarkspring.core.model.WarmupRecord;

/**
 * Decides for one entry instance on which backend server each request runs and when. It
 * has no threads, sockets or clock of its own: the embedding code passes in events with
 * the current time and carries out the returned actions. <pre class="code">
 * DecisionCore core = DecisionCore.builder("entry-1", "kigali-a").seed(7).build();
 * List&lt;Action&gt; actions = core.step(events, nowMillis);
 * </pre> Not thread-safe.
 */
public final class DecisionCore {

	private final CorePipeline pipeline;

	DecisionCore(CorePipeline pipeline) {
		this.pipeline = pipeline;
	}

	/**
	 * Starts building a core.
	 * @param instanceId unique name of the entry instance, not {@code null}
	 * @param dataCentre data centre of the entry instance, not {@code null}
	 * @return a builder
	 */
	public static DecisionCoreBuilder builder(String instanceId, String dataCentre) {
		return new DecisionCoreBuilder(instanceId, dataCentre);
	}

	/**
	 * Applies events and runs all periodic work that is due.
	 * @param events events in the order of their arrival, may be empty
	 * @param nowMillis current time of a monotonic clock, in milliseconds
	 * @return actions to carry out in order
	 */
	public List<Action> step(List<Event> events, long nowMillis) {
		return this.pipeline.step(events, nowMillis);
	}

	/**
	 * Returns the active configuration.
	 * @return the configuration, empty until the first one was received
	 */
	public Optional<Configuration> configuration() {
		return this.pipeline.configuration();
	}

	/**
	 * Returns all known drain directives.
	 * @return a snapshot
	 */
	public List<DrainDirective> drainDirectives() {
		return this.pipeline.drainDirectives();
	}

	/**
	 * Returns the warm-up state of all servers with a known incarnation.
	 * @return a snapshot
	 */
	public List<WarmupRecord> warmupRecords() {
		return this.pipeline.warmupRecords();
	}

	/**
	 * Returns the warm-up state of the servers that have not completed their warm-up.
	 * @return a snapshot
	 */
	public List<WarmupRecord> unfinishedWarmupRecords() {
		return this.pipeline.unfinishedWarmupRecords();
	}

	/**
	 * Returns the backend servers whose load reports this instance needs.
	 * @return entries of the platform's instance list
	 */
	public List<InstanceRecord> polledServers() {
		return this.pipeline.polledServers();
	}

	/**
	 * Returns the counters and queue sizes for status pages and metrics.
	 * @return a snapshot
	 */
	public CoreStatus status() {
		return this.pipeline.status();
	}

}
