package org.skylarkspring.core.internal;

import java.util.HashSet;
import java.util.Optional;
import java.util.Set;

import org.skylarkspring.core.config.ServiceConfiguration;
import org.skylarkspring.core.config.WorkspaceConfiguration;
import org.skylarkspring.core.model.RequestSpec;

/**
 * Row of the {@link RequestTable}: one request without a final outcome.
 */
final class RequestEntry {

	final long requestId;

	final RequestSpec spec;

	final ServiceConfiguration service;

	final WorkspaceConfiguration workspace;

	final long arrivedAtMillis;

	final long deadlineAtMillis;

	/** Servers on which an attempt failed or from which it was migrated. */
	final Set<String> triedServers = new HashSet<>();

	AttemptEntry currentAttempt;

	IdempotencyClaimEntry claim;

	int attemptCount;

	int claimRechecks;

	int deliveredTokens;

	/** Whether an earlier attempt may have run. */
	boolean mayHaveRun;

	double queueCost;

	RequestEntry(long requestId, RequestSpec spec, ServiceConfiguration service, WorkspaceConfiguration workspace,
			long arrivedAtMillis) {
		this.requestId = requestId;
		this.spec = spec;
		this.service = service;
		this.workspace = workspace;
		this.arrivedAtMillis = arrivedAtMillis;
		this.deadlineAtMillis = arrivedAtMillis + spec.deadlineMillis();
	}

	Optional<AttemptEntry> currentAttempt() {
		return Optional.ofNullable(this.currentAttempt);
	}

	Optional<IdempotencyClaimEntry> claim() {
		return Optional.ofNullable(this.claim);
	}

}
