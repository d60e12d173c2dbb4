package org.skylarkspring.gateway.rollout;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.Random;

import org.skylarkspring.gateway.model.StoreRevision;
import org.skylarkspring.gateway.peer.PeerDigest;

/**
 * Rollout on many instances with a store that knows conditional writes. Instances read it
 * with a delay, are cut off from it and from each other, freeze and restart.
 */
final class RolloutSimulation {

	static final long DURATION_MILLIS = 12_000;

	private static final long STEP_MILLIS = 50;

	private static final long REPORT_MILLIS = 1_000;

	private static final long ORDER_MILLIS = 3_000;

	private static final long END_MILLIS = ORDER_MILLIS + DURATION_MILLIS + 8_000;

	private final Random random;

	private final List<SimulatedInstance> instances = new ArrayList<>();

	private final List<Rollout> history = new ArrayList<>();

	private final List<Long> historyMillis = new ArrayList<>();

	private final double requestsPerStep;

	private final double faultRate;

	private final long faultMillis;

	private final double disturbanceRate;

	/** Verdicts in the store, in the order of the writes that took effect. */
	final List<RolloutStage> verdicts = new ArrayList<>();

	/** Requests that reached the service between the order and its time limit. */
	long requestsUntilLimit;

	/** Those that went to the new version until the time limit. */
	long exposed;

	long badResponses;

	private long reportedBadResponses;

	/** When the new version gave its 50th bad response, the highest value if never. */
	long fiftiethBadMillis = Long.MAX_VALUE;

	/** When the new version got its last request. */
	long lastExposureMillis;

	/** Requests for which there was no server. */
	long refused;

	RolloutSimulation(long seed, int instanceCount, double requestsPerSecond, double faultRate, long faultAfterMillis,
			double disturbanceRate) {
		this.random = new Random(seed);
		this.requestsPerStep = requestsPerSecond * STEP_MILLIS / 1_000;
		this.faultRate = faultRate;
		this.faultMillis = ORDER_MILLIS + faultAfterMillis;
		this.disturbanceRate = disturbanceRate;
		for (int rank = 0; rank < instanceCount; rank++) {
			this.instances.add(new SimulatedInstance(rank, instanceCount, 0));
			this.instances.get(rank).table.replaceAll(List.of(), 1, 0, 0);
		}
	}

	RolloutSimulation run() {
		for (long now = 0; now < END_MILLIS; now += STEP_MILLIS) {
			step(now);
		}
		return this;
	}

	private void step(long now) {
		if (now == ORDER_MILLIS) {
			put(new Rollout("s", "s", "v2", DURATION_MILLIS, new StoreRevision(1, 10), Optional.empty()), now);
		}
		disturb(now);
		this.instances.stream()
			.filter((instance) -> !instance.isCutOff(now))
			.forEach((instance) -> read(instance, now));
		sendRequests(now);
		if (now % REPORT_MILLIS == 0 || this.badResponses > this.reportedBadResponses) {
			this.reportedBadResponses = this.badResponses;
			exchangeReports(now);
		}
		if (now % (2 * STEP_MILLIS) == 0) {
			this.instances.stream()
				.filter((instance) -> !instance.isCutOff(now))
				.forEach((instance) -> instance.decide(1, now).ifPresent((status) -> write(instance, status, now)));
		}
	}

	private void put(Rollout rollout, long now) {
		this.history.add(rollout);
		this.historyMillis.add(now);
	}

	private void disturb(long now) {
		for (int rank = 0; rank < this.instances.size(); rank++) {
			if (this.random.nextDouble() < this.disturbanceRate * STEP_MILLIS / 1_000) {
				long untilMillis = now + 200 + this.random.nextInt(8_000);
				if (this.random.nextBoolean()) {
					this.instances.set(rank, new SimulatedInstance(rank, this.instances.size(), now));
				}
				else {
					this.instances.get(rank).cutOffUntilMillis = untilMillis;
				}
			}
		}
	}

	// Relays deliver changes up to some hundred milliseconds late.
	private void read(SimulatedInstance instance, long now) {
		long knownMillis = now - this.random.nextInt(400);
		List<Rollout> latest = new ArrayList<>();
		for (int index = 0; index < this.history.size(); index++) {
			if (this.historyMillis.get(index) <= knownMillis) {
				latest = List.of(this.history.get(index));
			}
		}
		instance.table.replaceAll(latest, 1, now, now);
		instance.table.confirm(knownMillis);
	}

	private void sendRequests(long now) {
		int count = SimulatedInstance.poisson(this.random, this.requestsPerStep);
		for (int number = 0; number < count; number++) {
			SimulatedInstance instance = this.instances.get(this.random.nextInt(this.instances.size()));
			Optional<Boolean> placed = instance.place(now);
			boolean untilLimit = now >= ORDER_MILLIS && now < ORDER_MILLIS + DURATION_MILLIS;
			this.requestsUntilLimit += untilLimit ? 1 : 0;
			this.refused += placed.isEmpty() ? 1 : 0;
			placed.ifPresent((newVersion) -> respond(instance, newVersion, untilLimit, now));
		}
	}

	private void respond(SimulatedInstance instance, boolean newVersion, boolean untilLimit, long now) {
		boolean bad = newVersion && now >= this.faultMillis && this.random.nextDouble() < this.faultRate;
		boolean failed = bad || this.random.nextDouble() < 0.005;
		instance.recordOutcome(newVersion, failed, now);
		if (newVersion) {
			this.exposed += untilLimit ? 1 : 0;
			this.lastExposureMillis = now;
			this.badResponses += bad ? 1 : 0;
			if (this.badResponses == 50 && this.fiftiethBadMillis == Long.MAX_VALUE) {
				this.fiftiethBadMillis = now;
			}
		}
	}

	private void exchangeReports(long now) {
		List<SimulatedInstance> connected = this.instances.stream()
			.filter((instance) -> !instance.isCutOff(now))
			.toList();
		PeerDigest sum = PeerDigest
			.sum(connected.stream().map((instance) -> new PeerDigest(null, instance.report(now).toList(), null, null)));
		connected.forEach((instance) -> {
			// What an instance reported itself is not among what it receives.
			List<VersionOutcomes> own = instance.report(now).toList();
			instance.applyPeers((sum.versionOutcomes() != null) ? sum.versionOutcomes()
				.stream()
				.map((total) -> own.stream()
					.filter((part) -> part.key().equals(total.key()))
					.findFirst()
					.map((part) -> new VersionOutcomes(total.key(), total.requests() - part.requests(),
							total.failures() - part.failures(), total.slow() - part.slow()))
					.orElse(total))
				.toList() : List.of(), now);
		});
	}

	private void write(SimulatedInstance instance, RolloutStatus status, long now) {
		Rollout current = this.history.get(this.history.size() - 1);
		Rollout known = instance.table.find("s").orElseThrow().rollout();
		boolean lost = this.random.nextInt(10) == 0;
		if (lost || !known.revision().equals(current.revision())) {
			return;
		}
		put(new Rollout("s", "s", "v2", DURATION_MILLIS, new StoreRevision(1, current.revision().number() + 1),
				Optional.of(status)), now);
		if (status.stage().isFinal()) {
			this.verdicts.add(status.stage());
		}
	}

}
