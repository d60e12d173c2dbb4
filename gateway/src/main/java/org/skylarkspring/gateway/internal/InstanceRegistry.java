package org.skylarkspring.gateway.internal;

import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.stream.Collectors;

import com.google.gson.JsonElement;
import com.google.gson.JsonObject;
import com.google.gson.JsonPrimitive;

import org.skylarkspring.gateway.GatewaySettings;
import org.skylarkspring.gateway.model.Ipv4SocketAddress;
import org.skylarkspring.gateway.model.ObjectChange;
import org.skylarkspring.gateway.model.ObjectKind;
import org.skylarkspring.gateway.model.StoreResult;
import org.skylarkspring.gateway.model.StoredObject;
import org.skylarkspring.gateway.policy.ClusterMember;
import org.skylarkspring.gateway.port.ObjectStore;

/**
 * Registers this instance as an object in the platform's store and updates the peer table
 * from the objects of the other instances.
 */
final class InstanceRegistry implements ObjectInformer.Listener {

	private static final long WRITE_RETRY_DELAY_MILLIS = 1_000;

	/** Time after the start at which the store is read even if no instance is known. */
	private static final long MAXIMUM_LIST_WAIT_MILLIS = 1_000;

	private static final String PEER_ADDRESS_KEY = "peerAddress";

	private static final String DATA_CENTRE_KEY = "dataCentre";

	private static final String CORES_KEY = "cores";

	private final GatewayContext context;

	private final ObjectStore store;

	private final PeerTable peers;

	private final ReappearanceGrace grace;

	private final InvalidObjectLog invalidObjects;

	/** Whether this instance wants to be registered. */
	private boolean registered;

	/** Whether the store has confirmed the registration. */
	private boolean stored;

	/** Task to run after the first list, {@code null} if there is none. */
	private Runnable afterFirstList;

	InstanceRegistry(GatewayContext context, ObjectStore store, PeerTable peers) {
		this.context = context;
		this.store = store;
		this.peers = peers;
		this.grace = new ReappearanceGrace(context.scheduler, peers::remove);
		this.invalidObjects = new InvalidObjectLog(context.log, context.metrics, ObjectKind.INSTANCES);
	}

	/**
	 * Runs a task once the instances have been listed, or after a while if they cannot be
	 * listed.
	 * @param task task to run, once
	 */
	void runAfterFirstList(Runnable task) {
		this.afterFirstList = task;
		this.context.scheduler.schedule(MAXIMUM_LIST_WAIT_MILLIS, this::runFirstListTask);
	}

	private void runFirstListTask() {
		Runnable task = this.afterFirstList;
		this.afterFirstList = null;
		if (task != null) {
			task.run();
		}
	}

	/** Registers this instance in the store and retries until the write succeeds. */
	void register() {
		this.registered = true;
		write();
	}

	private void write() {
		if (!this.registered) {
			return;
		}
		GatewaySettings settings = this.context.settings;
		JsonObject content = new JsonObject();
		content.addProperty(PEER_ADDRESS_KEY, settings.peerAddress());
		content.addProperty(DATA_CENTRE_KEY, settings.dataCentre());
		content.addProperty(CORES_KEY, settings.cores());
		this.store.write(ObjectKind.INSTANCES, settings.instanceId(), content.toString(), (result) -> {
			this.stored = result instanceof StoreResult.Written;
			if (!this.stored) {
				this.context.log.logStateChange(
						"instance registration failed, retrying in " + WRITE_RETRY_DELAY_MILLIS + " ms",
						Map.of("result", String.valueOf(result)));
				this.context.scheduler.schedule(WRITE_RETRY_DELAY_MILLIS, this::write);
			}
		});
	}

	/** Removes the object of this instance from the store. */
	void deregister() {
		this.registered = false;
		this.store.remove(ObjectKind.INSTANCES, this.context.settings.instanceId(), (result) -> this.context.log
			.logStateChange("instance deregistration finished", Map.of("result", result.getClass().getSimpleName())));
	}

	@Override
	public void onListed(List<StoredObject> all, boolean afterOutage) {
		Set<String> listed = all.stream().map(StoredObject::name).collect(Collectors.toSet());
		this.grace.onListed(this.peers.instanceIds(), listed, afterOutage);
		this.invalidObjects.retainListed(listed);
		all.forEach(this::updatePeer);
		if (!listed.contains(this.context.settings.instanceId())) {
			registerAgain();
		}
		runFirstListTask();
	}

	@Override
	public void onChanged(ObjectChange change) {
		this.grace.onChanged(change.object().name());
		if (change.deleted()) {
			this.invalidObjects.forget(change.object().name());
		}
		if (change.deleted() && change.object().name().equals(this.context.settings.instanceId())) {
			registerAgain();
		}
		else if (change.deleted()) {
			this.peers.remove(change.object().name());
		}
		else {
			updatePeer(change.object());
		}
	}

	// The store may have returned from a copy that lacks the object of this instance.
	private void registerAgain() {
		if (this.registered && this.stored) {
			this.stored = false;
			this.context.log.logStateChange("instance is not listed, registering again",
					Map.of("instance", this.context.settings.instanceId()));
			write();
		}
	}

	// An invalid object does not replace what is known of an instance, which still runs.
	private void updatePeer(StoredObject object) {
		Optional<String> address = primitiveValue(object, PEER_ADDRESS_KEY).map(JsonPrimitive::getAsString)
			.filter(Ipv4SocketAddress::isValid);
		double cores = primitiveValue(object, CORES_KEY).filter(JsonPrimitive::isNumber)
			.map(JsonPrimitive::getAsDouble)
			.orElse(0.0);
		if (address.isEmpty() || !Double.isFinite(cores)) {
			this.invalidObjects.recordInvalid(object, "describes no usable instance");
			return;
		}
		this.invalidObjects.forget(object.name());
		String dataCentre = primitiveValue(object, DATA_CENTRE_KEY).map(JsonPrimitive::getAsString).orElse("");
		this.peers.addOrUpdate(new ClusterMember(object.name(), dataCentre, cores), address.get());
	}

	private static Optional<JsonPrimitive> primitiveValue(StoredObject object, String name) {
		return Optional.ofNullable(object.content().get(name))
			.filter(JsonElement::isJsonPrimitive)
			.map(JsonElement::getAsJsonPrimitive);
	}

}
