package org.skylarkspring.gateway.internal;

import java.util.HashMap;
import java.util.Map;

import org.skylarkspring.gateway.GatewaySettings;
import org.skylarkspring.gateway.policy.RetryBudget;

/**
 * Retry budgets of this instance, one for each service.
 */
final class RetryBudgets {

	private final Map<String, RetryBudget> budgets = new HashMap<>();

	private final GatewaySettings settings;

	private final Scheduler scheduler;

	private final PeerTable peers;

	RetryBudgets(GatewaySettings settings, Scheduler scheduler, PeerTable peers) {
		this.settings = settings;
		this.scheduler = scheduler;
		this.peers = peers;
	}

	void recordRequest(String service) {
		budgetFor(service).recordRequest(this.scheduler.nowMillis());
	}

	boolean tryAcquireRetry(String service) {
		return budgetFor(service).tryAcquireRetry(this.scheduler.nowMillis(), this.peers.instanceCount());
	}

	private RetryBudget budgetFor(String service) {
		return this.budgets.computeIfAbsent(service, (name) -> new RetryBudget(this.settings.retryWindowMillis(),
				this.settings.retryRatio(), this.settings.fixedRetriesPerWindow()));
	}

}
