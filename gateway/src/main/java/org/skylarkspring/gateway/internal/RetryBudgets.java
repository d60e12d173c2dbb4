package org.skylarkspring.gateway.internal;

import java.util.HashMap;
import java.util.Map;

import org.skylarkspring.gateway.GatewaySettings;
import org.skylarkspring.gateway.policy.RetryBudget;

/**
 * This instance's budgets of repeats, one for each service.
 */
final class RetryBudgets {

	private final Map<String, RetryBudget> budgets = new HashMap<>();

	private final GatewaySettings settings;

	private final TimeSource time;

	private final PeerTable peers;

	RetryBudgets(GatewaySettings settings, TimeSource time, PeerTable peers) {
		this.settings = settings;
		this.time = time;
		this.peers = peers;
	}

	void requested(String service) {
		budget(service).requested(this.time.nowMillis());
	}

	boolean tryRepeat(String service) {
		return budget(service).tryRepeat(this.time.nowMillis(), this.peers.instances());
	}

	private RetryBudget budget(String service) {
		return this.budgets.computeIfAbsent(service, (name) -> new RetryBudget(this.settings.retryWindowMillis(),
				this.settings.retryRatio(), this.settings.retryExtra()));
	}

}
