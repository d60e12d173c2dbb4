package org.skylarkspring.gateway.internal;

import java.util.Map;

import org.skylarkspring.gateway.pressure.HeapSampler;
import org.skylarkspring.gateway.pressure.MemoryDecision;
import org.skylarkspring.gateway.pressure.MemoryPressure;
import org.skylarkspring.gateway.pressure.MemorySample;

/**
 * Watches the memory of the instance, so that it turns new work away in time.
 */
final class InstanceMemory {

	private final GatewayContext context;

	private final ActiveRequestRegistry activeRequests;

	private final MemoryPressure pressure = new MemoryPressure();

	private final HeapSampler sampler;

	InstanceMemory(GatewayContext context, ActiveRequestRegistry activeRequests) {
		this.context = context;
		this.activeRequests = activeRequests;
		this.sampler = new HeapSampler(context.settings.memoryBytes());
	}

	MemoryDecision decision() {
		return this.pressure.decision();
	}

	/** Takes a sample and decides anew. */
	void tick() {
		long now = this.context.scheduler.nowMillis();
		MemorySample sample = this.sampler.sample(this.activeRequests.bodyMemory().heldBytes(),
				this.activeRequests.responseMemory().heldBytes(), now);
		if (this.pressure.update(sample)) {
			this.context.log.logStateChange(
					this.pressure.isShedding() ? "short of memory, turning new requests away"
							: "memory is free again, taking new requests",
					Map.of("live-bytes", sample.liveBytes(), "limit-bytes", sample.limitBytes(), "body-bytes",
							sample.bodyBytes(), "response-bytes", sample.responseBytes()));
		}
		this.context.metrics.recordMemory(sample, this.pressure.isShedding());
		this.context.metrics.setLargestServerBodyBytes(this.context.outstandingBodies.largestHeldBytes(now));
	}

}
