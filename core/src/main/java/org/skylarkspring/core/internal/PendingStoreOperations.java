package org.skylarkspring.core.internal;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

import org.skylarkspring.core.action.Action;
import org.skylarkspring.core.model.StoreResponse;
import org.skylarkspring.core.model.StoredObject;

/**
 * Operations on the platform's store that have no answer yet.
 */
final class PendingStoreOperations {

	private final Map<Long, Consumer<StoreResponse>> pendingCallbacks = new HashMap<>();

	private final Consumer<Action> actionSink;

	private long lastOperationId;

	PendingStoreOperations(Consumer<Action> actionSink) {
		this.actionSink = actionSink;
	}

	void write(String key, long expectedVersion, StoredObject value, Consumer<StoreResponse> continuation) {
		long operationId = register(continuation);
		this.actionSink.accept(new Action.StoreWrite(operationId, key, expectedVersion, value));
	}

	void read(String key, Consumer<StoreResponse> continuation) {
		long operationId = register(continuation);
		this.actionSink.accept(new Action.StoreRead(operationId, key));
	}

	void complete(long operationId, StoreResponse answer) {
		Consumer<StoreResponse> continuation = this.pendingCallbacks.remove(operationId);
		if (continuation != null) {
			continuation.accept(answer);
		}
	}

	private long register(Consumer<StoreResponse> continuation) {
		this.lastOperationId++;
		this.pendingCallbacks.put(this.lastOperationId, continuation);
		return this.lastOperationId;
	}

}
