package org.skylarkspring.gateway.internal;

import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;

import org.skylarkspring.gateway.GatewaySettings;
import org.skylarkspring.gateway.model.ObjectChange;
import org.skylarkspring.gateway.model.ObjectKind;
import org.skylarkspring.gateway.model.StoreResult;
import org.skylarkspring.gateway.model.StoredObject;
import org.skylarkspring.gateway.policy.Member;
import org.skylarkspring.gateway.port.ObjectStore;

/**
 * Makes instances known to each other: an object in the platform's store for each.
 */
final class InstanceDirectory implements KindWatch.Listener {

	private static final long WRITE_RETRY_MILLIS = 1_000;

	private static final String ADDRESS = "peerAddress";

	private static final String DATA_CENTRE = "dataCentre";

	private static final String CORES = "cores";

	private final GatewayContext context;

	private final ObjectStore store;

	private final PeerTable peers;

	InstanceDirectory(GatewayContext context, ObjectStore store, PeerTable peers) {
		this.context = context;
		this.store = store;
		this.peers = peers;
	}

	/** Lists this instance; tries again until that is done. */
	void announce() {
		GatewaySettings settings = this.context.settings;
		JsonObject content = new JsonObject();
		content.addProperty(ADDRESS, settings.peerAddress());
		content.addProperty(DATA_CENTRE, settings.dataCentre());
		content.addProperty(CORES, settings.cores());
		this.store.write(ObjectKind.INSTANCES, settings.instanceId(), content.toString(), (result) -> {
			if (!(result instanceof StoreResult.Written)) {
				this.context.log.change("instance not announced", Map.of("result", String.valueOf(result)));
				this.context.time.after(WRITE_RETRY_MILLIS, this::announce);
			}
		});
	}

	/** Removes this instance from the list of instances. */
	void leave() {
		this.store.remove(ObjectKind.INSTANCES, this.context.settings.instanceId(), (result) -> this.context.log
			.change("instance removed from the list", Map.of("result", result.getClass().getSimpleName())));
	}

	@Override
	public void listed(List<StoredObject> all, boolean afterOutage) {
		this.peers.retainAll(all.stream().map(StoredObject::name).toList());
		all.forEach(this::put);
	}

	@Override
	public void changed(ObjectChange change) {
		if (change.deleted()) {
			this.peers.remove(change.object().name());
		}
		else {
			put(change.object());
		}
	}

	private void put(StoredObject object) {
		Optional<String> dataCentre = value(object, DATA_CENTRE).map(JsonElement::getAsString);
		double cores = value(object, CORES).map(JsonElement::getAsDouble).orElse(0.0);
		value(object, ADDRESS).map(JsonElement::getAsString)
			.ifPresent((address) -> this.peers.put(new Member(object.name(), dataCentre.orElse(""), cores), address));
	}

	private static Optional<JsonElement> value(StoredObject object, String name) {
		return Optional.ofNullable(object.content().get(name)).filter(JsonElement::isJsonPrimitive);
	}

}
