package org.skylarkspring.gateway.internal;

import java.util.List;
import java.util.Optional;
import java.util.stream.Collectors;

import org.skylarkspring.gateway.model.ObjectChange;
import org.skylarkspring.gateway.model.ServerRegistration;
import org.skylarkspring.gateway.model.StoredObject;
import org.skylarkspring.gateway.port.ObjectDecoder;

/**
 * Applies changes of the server list to the server table. An entry that cannot be decoded
 * names no server, and a server whose entry becomes such a one is treated as removed.
 */
final class ServerRegistrationListener implements ObjectInformer.Listener {

	private final ObjectDecoder decoder;

	private final ServerTable servers;

	private final Scheduler scheduler;

	private final InvalidObjectLog invalidObjects;

	ServerRegistrationListener(ObjectDecoder decoder, ServerTable servers, Scheduler scheduler,
			InvalidObjectLog invalidObjects) {
		this.decoder = decoder;
		this.servers = servers;
		this.scheduler = scheduler;
		this.invalidObjects = invalidObjects;
	}

	@Override
	public void onListed(List<StoredObject> all, boolean afterOutage) {
		this.invalidObjects.retainListed(all.stream().map(StoredObject::name).collect(Collectors.toSet()));
		this.servers.replaceAll(all.stream().flatMap((object) -> decode(object).stream()).toList(), afterOutage,
				this.scheduler.nowMillis());
	}

	@Override
	public void onChanged(ObjectChange change) {
		if (change.deleted()) {
			this.invalidObjects.forget(change.object().name());
			remove(change.object().name());
		}
		else {
			decode(change.object()).ifPresentOrElse(
					(registration) -> this.servers.addOrUpdate(registration, this.scheduler.nowMillis()),
					() -> remove(change.object().name()));
		}
	}

	private void remove(String serverId) {
		this.servers.remove(serverId, this.scheduler.nowMillis());
	}

	private Optional<ServerRegistration> decode(StoredObject object) {
		try {
			Optional<ServerRegistration> registration = this.decoder.decodeServerRegistration(object);
			registration.ifPresentOrElse((valid) -> this.invalidObjects.forget(object.name()),
					() -> this.invalidObjects.recordInvalid(object, "describes no usable server"));
			return registration;
		}
		catch (RuntimeException ex) {
			this.invalidObjects.recordInvalid(object, String.valueOf(ex));
			return Optional.empty();
		}
	}

}
