package org.skylarkspring.gateway.internal;

import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;
import java.util.stream.Collectors;

import org.skylarkspring.gateway.model.ObjectChange;
import org.skylarkspring.gateway.model.StoredObject;

/**
 * Applies changes of the list of evacuated data centres. An evacuation that is missing
 * after the store was away stays in force until its operator has had time to write it
 * again.
 */
final class EvacuationListener implements ObjectInformer.Listener {

	private final DecisionLog log;

	private final ServerSelector serverSelector;

	private final Set<String> evacuated = new HashSet<>();

	private final ReappearanceGrace grace;

	EvacuationListener(Scheduler scheduler, DecisionLog log, ServerSelector serverSelector) {
		this.log = log;
		this.serverSelector = serverSelector;
		this.grace = new ReappearanceGrace(scheduler, this::remove);
	}

	@Override
	public void onListed(List<StoredObject> all, boolean afterOutage) {
		Set<String> listed = all.stream().map(StoredObject::name).collect(Collectors.toSet());
		this.evacuated.addAll(listed);
		this.grace.onListed(Set.copyOf(this.evacuated), listed, afterOutage);
		apply();
	}

	@Override
	public void onChanged(ObjectChange change) {
		this.grace.onChanged(change.object().name());
		if (change.deleted()) {
			this.evacuated.remove(change.object().name());
		}
		else {
			this.evacuated.add(change.object().name());
		}
		apply();
	}

	private void remove(String dataCentre) {
		this.evacuated.remove(dataCentre);
		apply();
	}

	private void apply() {
		this.serverSelector.setEvacuatedDataCentres(this.evacuated);
		this.log.logStateChange("evacuated data centres updated",
				Map.of("data-centres", String.join(",", this.evacuated)));
	}

}
