package org.skylarkspring.core.internal;

import java.util.HashMap;
import java.util.Map;
import java.util.function.Consumer;

import org.skylarkspring.core.action.Action;
import org.skylarkspring.core.model.StoreAnswer;
import org.skylarkspring.core.model.StoredObject;

/**
 * Operations on the platform's store that have no answer yet.
 */
final class StoreOperations {

	private final Map<Long, Consumer<StoreAnswer>> pending = new HashMap<>();

	private final Consumer<Action> output;

	private long lastOperationId;

	StoreOperations(Consumer<Action> output) {
		this.output = output;
	}

	void write(String key, long expectedVersion, StoredObject value, Consumer<StoreAnswer> continuation) {
		long operationId = register(continuation);
		this.output.accept(new Action.StoreWrite(operationId, key, expectedVersion, value));
	}

	void read(String key, Consumer<StoreAnswer> continuation) {
		long operationId = register(continuation);
		this.output.accept(new Action.StoreRead(operationId, key));
	}

	void answered(long operationId, StoreAnswer answer) {
		Consumer<StoreAnswer> continuation = this.pending.remove(operationId);
		if (continuation != null) {
			continuation.accept(answer);
		}
	}

	private long register(Consumer<StoreAnswer> continuation) {
		this.lastOperationId++;
		this.pending.put(this.lastOperationId, continuation);
		return this.lastOperationId;
	}

}
