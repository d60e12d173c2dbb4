package org.skylarkspring.entry.internal;

import java.util.Optional;

import org.skylarkspring.core.action.Action;
import org.skylarkspring.core.event.Event;
import org.skylarkspring.core.model.StoreResponse;
import org.skylarkspring.core.model.StoredObject;
import org.skylarkspring.entry.http.Json;

/**
 * Carries out the core's store operations and gives the answers back to it.
 */
final class StoreGateway {

	private static final String CLAIMS = "claims/";

	private final ObjectStore platform;

	private CoreLoop loop;

	StoreGateway(ObjectStore platform) {
		this.platform = platform;
	}

	void connect(CoreLoop coreLoop) {
		this.loop = coreLoop;
	}

	void write(Action.StoreWrite action) {
		this.platform.write(action.key(), action.expectedVersion(), Json.write(action.value()))
			.thenAccept((result) -> answer(action.operationId(), action.key(), result));
	}

	void read(Action.StoreRead action) {
		this.platform.read(action.key()).thenAccept((result) -> answer(action.operationId(), action.key(), result));
	}

	private void answer(long operationId, String key, PlatformResult result) {
		this.loop.post(new Event.StoreResponseReceived(operationId, convert(key, result)));
	}

	private static StoreResponse convert(String key, PlatformResult result) {
		if (result instanceof PlatformResult.Written written) {
			return new StoreResponse.Written(written.version());
		}
		if (result instanceof PlatformResult.Found found) {
			return value(key, found.json())
				.<StoreResponse>map((value) -> new StoreResponse.Found(found.version(), value))
				.orElseGet(StoreResponse.Unavailable::new);
		}
		if (result instanceof PlatformResult.Absent) {
			return new StoreResponse.NotFound();
		}
		return (result instanceof PlatformResult.Lost) ? new StoreResponse.ResponseLost()
				: new StoreResponse.Unavailable();
	}

	private static Optional<StoredObject> value(String key, String json) {
		if (key.startsWith(CLAIMS)) {
			return Json.read(json, StoredObject.IdempotencyRecord.class).map(StoredObject.class::cast);
		}
		return Json.read(json, StoredObject.Lease.class).map(StoredObject.class::cast);
	}

}
