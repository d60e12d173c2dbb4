package org.skylarkspring.gateway.internal;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;

import org.skylarkspring.gateway.model.PromptSpec;
import org.skylarkspring.gateway.model.RequestHead;
import org.skylarkspring.gateway.model.RouteSpec;
import org.skylarkspring.gateway.model.ServiceSpec;
import org.skylarkspring.gateway.policy.EventOrder;
import org.skylarkspring.gateway.policy.MemoryEstimate;
import org.skylarkspring.gateway.policy.UnansweredRequest;

/**
 * Row of a request that is being served.
 */
final class Call {

	final HttpServerExchange exchange;

	final RequestHead head;

	final RouteSpec route;

	final ServiceSpec service;

	final Optional<String> workspace;

	final int priority;

	final byte[] body;

	final HeaderMap forwardedHeaders;

	final long arrivedMillis;

	final long deadlineMillis;

	final long promisedTokens;

	final EventOrder order = new EventOrder();

	final Set<String> triedServers = new HashSet<>();

	CallerAnswer answer;

	CallerWatch watch;

	TimeSource.Timer deadlineTimer;

	ServerAttempt attempt;

	CarryOver carryOver;

	/** Sends after which the request may have run. */
	int runs;

	/** Sends of any outcome. */
	int sends;

	long firstEventMillis = -1;

	long lastEventMillis = -1;

	long longestPauseMillis;

	/** Time of the event after which a pause was reported, 0 if none was. */
	long reportedStallMillis;

	boolean finished;

	Call(HttpServerExchange exchange, RequestHead head, RouteSpec route, ServiceSpec service,
			Optional<String> workspace, int priority, byte[] body, HeaderMap forwardedHeaders, long arrivedMillis) {
		this.exchange = exchange;
		this.head = head;
		this.route = route;
		this.service = service;
		this.workspace = workspace;
		this.priority = priority;
		this.body = body;
		this.forwardedHeaders = forwardedHeaders;
		this.arrivedMillis = arrivedMillis;
		this.deadlineMillis = arrivedMillis
				+ Math.min(route.timeoutMillis(), head.deadlineMillis().orElse(Long.MAX_VALUE));
		this.promisedTokens = service.engine().isPresent() ? head.prompt().map(MemoryEstimate::tokens).orElse(0L) : 0;
	}

	String id() {
		return this.head.requestId();
	}

	UnansweredRequest unanswered() {
		return new UnansweredRequest(this.route.kind().repeatable(), committed(), this.runs,
				this.route.maximumAttempts(), this.sends);
	}

	long promptTokens() {
		return this.head.prompt().map(PromptSpec::promptTokens).orElse(0);
	}

	boolean keyed() {
		return this.workspace.isPresent();
	}

	/**
	 * Returns whether the caller has received part of the answer.
	 * @return {@code true} if nothing but this answer can be given any more
	 */
	boolean committed() {
		return this.answer.started();
	}

}
