package org.skylarkspring.gateway.admission;

import java.util.LinkedHashMap;
import java.util.Map;
import java.util.OptionalLong;

/**
 * Figures behind an {@link AdmissionDecision}.
 *
 * @param requestTokens KV cache memory that the request needs, in tokens
 * @param freeTokens largest free KV cache memory of a server with a free slot, in tokens
 * @param takenSlots slots of the service's servers that are taken
 * @param totalSlots slots of the service's servers
 * @param workspaceTokens memory that the workspace uses on all instances, in tokens
 * @param workspaceShareTokens fair share of the workspace, in tokens
 * @param deferredTokens memory that deferred requests in the queues of engines wait for,
 * in tokens
 * @param aheadTokens memory that requests ahead of this one wait for, in tokens
 * @param expectedRoomMillis time until room is expected for a request that is started
 * before deferred ones, empty if unknown, in milliseconds
 * @param expectedQueueMillis time until room is expected for a deferred request, empty if
 * unknown, in milliseconds
 * @param expectedServiceMillis shortest usual time from the dispatch to the end of the
 * response, in milliseconds
 * @param peerCertainty weight of the loads of the other instances by their age, 0 to 1
 */
public record AdmissionFigures(long requestTokens, long freeTokens, int takenSlots, int totalSlots,
		long workspaceTokens, long workspaceShareTokens, long deferredTokens, long aheadTokens,
		OptionalLong expectedRoomMillis, OptionalLong expectedQueueMillis, long expectedServiceMillis,
		double peerCertainty) {

	/**
	 * Returns the figures by their names in log lines.
	 * @return the fields
	 */
	public Map<String, Object> toFields() {
		Map<String, Object> fields = new LinkedHashMap<>();
		fields.put("tokens", this.requestTokens);
		fields.put("free-tokens", this.freeTokens);
		fields.put("taken-slots", this.takenSlots);
		fields.put("slots", this.totalSlots);
		fields.put("workspace-tokens", this.workspaceTokens);
		fields.put("workspace-share", this.workspaceShareTokens);
		fields.put("deferred-tokens", this.deferredTokens);
		fields.put("ahead-tokens", this.aheadTokens);
		this.expectedRoomMillis.ifPresent((millis) -> fields.put("expected-room-millis", millis));
		this.expectedQueueMillis.ifPresent((millis) -> fields.put("expected-queue-millis", millis));
		fields.put("expected-service-millis", this.expectedServiceMillis);
		fields.put("peer-certainty", this.peerCertainty);
		return fields;
	}

}
