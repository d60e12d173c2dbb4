package org.skylarkspring.core.internal;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.skylarkspring.core.config.ServicePolicy;
import org.skylarkspring.core.config.WorkspacePolicy;
import org.skylarkspring.core.model.RequestSpec;

/**
 * Row of the {@link RequestTable}: one request without a final answer.
 */
final class RequestEntry {

	final long requestId;

	final RequestSpec spec;

	final ServicePolicy service;

	final WorkspacePolicy workspace;

	final long arrivedAtMillis;

	final long deadlineAtMillis;

	/** Servers on which an attempt failed. */
	final Set<String> triedServers = new HashSet<>();

	AttemptEntry attempt;

	ClaimEntry claim;

	int attempts;

	int claimChecks;

	int deliveredTokens;

	/** Whether an earlier attempt may have run. */
	boolean mayHaveRun;

	double queueCost;

	RequestEntry(long requestId, RequestSpec spec, ServicePolicy service, WorkspacePolicy workspace,
			long arrivedAtMillis) {
		this.requestId = requestId;
		this.spec = spec;
		this.service = service;
		this.workspace = workspace;
		this.arrivedAtMillis = arrivedAtMillis;
		this.deadlineAtMillis = arrivedAtMillis + spec.deadlineMillis();
	}

	Optional<AttemptEntry> attempt() {
		return Optional.ofNullable(this.attempt);
	}

	Optional<ClaimEntry> claim() {
		return Optional.ofNullable(this.claim);
	}

}
