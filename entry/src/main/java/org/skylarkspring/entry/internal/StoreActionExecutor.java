package org.skylarkspring.entry.internal;

import java.util.Optional;

import org.skylarkspring.core.action.Action;
import org.skylarkspring.core.event.Event;
import org.skylarkspring.core.model.StoreResponse;
import org.skylarkspring.core.model.StoredObject;
import org.skylarkspring.entry.http.Json;

/**
 * Executes the store operations of the decision core and posts the responses to it.
 */
final class StoreActionExecutor {

	private static final String CLAIM_KEY_PREFIX = "claims/";

	private final ObjectStore objectStore;

	private CoreLoop coreLoop;

	StoreActionExecutor(ObjectStore objectStore) {
		this.objectStore = objectStore;
	}

	void setCoreLoop(CoreLoop coreLoop) {
		this.coreLoop = coreLoop;
	}

	void write(Action.StoreWrite action) {
		this.objectStore.write(action.key(), action.expectedVersion(), Json.write(action.value()))
			.thenAccept((result) -> postResponse(action.operationId(), action.key(), result));
	}

	void read(Action.StoreRead action) {
		this.objectStore.read(action.key())
			.thenAccept((result) -> postResponse(action.operationId(), action.key(), result));
	}

	private void postResponse(long operationId, String key, ObjectStoreResult result) {
		this.coreLoop.post(new Event.StoreResponseReceived(operationId, toStoreResponse(key, result)));
	}

	private static StoreResponse toStoreResponse(String key, ObjectStoreResult result) {
		if (result instanceof ObjectStoreResult.Written written) {
			return new StoreResponse.Written(written.version());
		}
		if (result instanceof ObjectStoreResult.Found found) {
			return parseStoredObject(key, found.json())
				.<StoreResponse>map((value) -> new StoreResponse.Found(found.version(), value))
				.orElseGet(StoreResponse.Unavailable::new);
		}
		if (result instanceof ObjectStoreResult.NotFound) {
			return new StoreResponse.NotFound();
		}
		return (result instanceof ObjectStoreResult.ResponseLost) ? new StoreResponse.ResponseLost()
				: new StoreResponse.Unavailable();
	}

	private static Optional<StoredObject> parseStoredObject(String key, String json) {
		if (key.startsWith(CLAIM_KEY_PREFIX)) {
			return Json.read(json, StoredObject.IdempotencyRecord.class).map(StoredObject.class::cast);
		}
		return Json.read(json, StoredObject.Lease.class).map(StoredObject.class::cast);
	}

}
