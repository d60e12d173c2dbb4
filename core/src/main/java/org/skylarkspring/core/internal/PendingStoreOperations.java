package org.skylarkspring.core.internal;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

import org.skylarkspring.core.action.Action;
import org.skylarkspring.core.model.StoreResponse;
import org.skylarkspring.core.model.StoredObject;

/**
 * Operations on the platform's store that have not completed, and their callbacks.
 */
final class PendingStoreOperations {

	private final Map<Long, Consumer<StoreResponse>> pendingCallbacks = new HashMap<>();

	private final Consumer<Action> actionSink;

	private long lastOperationId;

	PendingStoreOperations(Consumer<Action> actionSink) {
		this.actionSink = actionSink;
	}

	void write(String key, long expectedVersion, StoredObject value, Consumer<StoreResponse> callback) {
		long operationId = register(callback);
		this.actionSink.accept(new Action.StoreWrite(operationId, key, expectedVersion, value));
	}

	void read(String key, Consumer<StoreResponse> callback) {
		long operationId = register(callback);
		this.actionSink.accept(new Action.StoreRead(operationId, key));
	}

	void complete(long operationId, StoreResponse response) {
		Consumer<StoreResponse> callback = this.pendingCallbacks.remove(operationId);
		if (callback != null) {
			callback.accept(response);
		}
	}

	private long register(Consumer<StoreResponse> callback) {
		this.lastOperationId++;
		this.pendingCallbacks.put(this.lastOperationId, callback);
		return this.lastOperationId;
	}

}
