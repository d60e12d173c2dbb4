package org.skylarkspring.gateway.internal;

import java.util.HashSet;
import java.util.List;
import java.util.Optional;
import java.util.Set;

import io.undertow.server.HttpServerExchange;

import org.skylarkspring.gateway.admission.AdmissionRequest;
import org.skylarkspring.gateway.model.GenerationSize;
import org.skylarkspring.gateway.model.RequestHead;
import org.skylarkspring.gateway.model.RequestIdentity;
import org.skylarkspring.gateway.model.RouteSpec;
import org.skylarkspring.gateway.model.ServiceSpec;
import org.skylarkspring.gateway.placement.PlacementRequest;
import org.skylarkspring.gateway.policy.EventSequenceTracker;
import org.skylarkspring.gateway.policy.KvCacheEstimator;
import org.skylarkspring.gateway.policy.RetryContext;

/**
 * State of a request that is being served.
 */
final class ActiveRequest {

	final HttpServerExchange exchange;

	final RequestHead head;

	final RouteSpec route;

	final ServiceSpec service;

	final Optional<String> workspace;

	final int priority;

	final byte[] body;

	final ForwardedHead forwardedHead;

	final long arrivedMillis;

	final long deadlineMillis;

	/** KV cache memory that the generation is expected to need, in tokens. */
	long reservedTokens;

	/** {@code null} if admission control does not apply to the request. */
	AdmissionRequest admission;

	/** Whether it has been logged and counted that the request waits for room. */
	boolean waitRecorded;

	/** Whether the engine that gets the request first should start others before it. */
	boolean deferred;

	final EventSequenceTracker eventOrder = new EventSequenceTracker();

	final Set<String> triedServers = new HashSet<>();

	/**
	 * Ids of the servers that have not confirmed yet that they stopped the generation.
	 */
	final Set<String> stoppingServers = new HashSet<>();

	/**
	 * Ids of the servers to which a connection was not established in time, or was closed
	 * before the request was written to it.
	 */
	private final Set<String> unreachedServers = new HashSet<>();

	CallerResponseWriter responseWriter;

	/** Detector of the caller's disconnect, {@code null} until it is started. */
	CallerDisconnectDetector disconnectDetector;

	/** Timer of the deadline, without effect until it is started. */
	Scheduler.Timer deadlineTimer = () -> {
	};

	ServerAttempt attempt;

	/**
	 * Attempt that is about to continue the generation on another server while
	 * {@link #attempt} still runs, {@code null} for none.
	 */
	ServerAttempt successor;

	GenerationMigration migration;

	/** Number of attempts in which a server may have executed the request. */
	int possibleExecutions;

	/** Number of attempts, whatever their outcome. */
	int sendCount;

	long firstEventMillis = -1;

	long lastEventMillis = -1;

	long longestPauseMillis;

	/**
	 * Time of the last event before the most recently logged stall, -1 if the stall
	 * preceded the first event, 0 if no stall was logged.
	 */
	long loggedStallEventMillis;

	boolean finished;

	/** Keys of this request, {@code null} until they are needed. */
	private List<String> identityKeys;

	ActiveRequest(HttpServerExchange exchange, RequestHead head, RouteSpec route, ServiceSpec service,
			Optional<String> workspace, int priority, byte[] body, ForwardedHead forwardedHead, long arrivedMillis) {
		this.exchange = exchange;
		this.head = head;
		this.route = route;
		this.service = service;
		this.workspace = workspace;
		this.priority = priority;
		this.body = body;
		this.forwardedHead = forwardedHead;
		this.arrivedMillis = arrivedMillis;
		this.deadlineMillis = arrivedMillis
				+ Math.min(route.timeoutMillis(), head.deadlineMillis().orElse(Long.MAX_VALUE));
		this.reservedTokens = service.engine().isPresent()
				? head.generationSize().map(KvCacheEstimator::estimateKvCacheTokens).orElse(0L) : 0;
	}

	String id() {
		return this.head.requestId();
	}

	/**
	 * Returns the keys that this request has in common with its repeats.
	 * @return the keys, at least one
	 */
	List<String> identityKeys() {
		if (this.identityKeys == null) {
			String query = this.exchange.getQueryString();
			this.identityKeys = new RequestIdentity(this.exchange.getHostName(),
					this.exchange.getRequestMethod().toString(), this.exchange.getRequestURI() + "?" + query,
					this.workspace.orElse(""), this.head.promptPartIds())
				.keys(this.body);
		}
		return this.identityKeys;
	}

	PlacementRequest toPlacementRequest(long nowMillis) {
		return new PlacementRequest(this.service, this.route, this.reservedTokens, promptTokens(), this.body.length,
				Math.max(0, this.deadlineMillis - nowMillis));
	}

	RetryContext toRetryContext() {
		return new RetryContext(this.route.semantics().isRetryable(), isCommitted(), this.possibleExecutions,
				this.route.maximumAttempts(), this.sendCount);
	}

	/**
	 * Allows a server that received nothing, because no connection was established in
	 * time or it was closed first, to be tried once more.
	 * @param serverId id of the server
	 * @return {@code false} if it was tried once more already
	 */
	boolean allowSecondConnection(String serverId) {
		boolean allowed = this.unreachedServers.add(serverId);
		if (allowed) {
			this.triedServers.remove(serverId);
		}
		return allowed;
	}

	/**
	 * Returns whether a connection to a server was not established in time, or was closed
	 * before the request was written to it.
	 * @param serverId id of the server
	 * @return {@code true} if the server has received nothing on that connection
	 */
	boolean hasNotReached(String serverId) {
		return this.unreachedServers.contains(serverId);
	}

	long promptTokens() {
		return this.head.generationSize().map(GenerationSize::promptTokens).orElse(0);
	}

	boolean usesServer(ServerEntry server) {
		return (this.attempt != null && this.attempt.server == server)
				|| (this.successor != null && this.successor.server == server);
	}

	boolean isAuthenticated() {
		return this.workspace.isPresent();
	}

	/**
	 * Returns whether the response to the caller has been started.
	 * @return {@code true} if the response can no longer be replaced by another one
	 */
	boolean isCommitted() {
		return this.responseWriter.isStarted();
	}

}
