package org.skylarkspring.gateway.rollout;

import java.util.Optional;

import org.skylarkspring.gateway.model.ServerRegistration;
import org.skylarkspring.gateway.placement.ServerGate;
import org.skylarkspring.gateway.placement.ServerUse;

/**
 * Lets requests, migrations and backups use only servers of the versions that are in use,
 * and counts what goes to a version under test.
 */
public final class RolloutGate implements ServerGate {

	/**
	 * Part of the allowed share that may be used once the version is promoted. The rest
	 * covers requests that arrive between the last write and its arrival at instances.
	 */
	private static final double PROMOTION_BUDGET_FRACTION = 0.95;

	private final RolloutTable table;

	/**
	 * Creates a gate.
	 * @param table the known rollouts
	 */
	public RolloutGate(RolloutTable table) {
		this.table = table;
	}

	@Override
	public Optional<String> findObjection(ServerUse use, long nowMillis) {
		return this.table.find(use.server().service())
			.map((state) -> state.isTarget(use.server().version()) ? findObjectionToNew(state, use, nowMillis)
					: findObjectionToOld(state, use, nowMillis))
			.orElseGet(() -> findObjectionToVersion(use.server()));
	}

	private Optional<String> findObjectionToNew(RolloutState state, ServerUse use, long nowMillis) {
		return switch (state.stage()) {
			case COMPLETED -> Optional.empty();
			case ROLLED_BACK -> Optional.of("version was rolled back");
			case PROMOTING -> findObjectionToUnproven(state, nowMillis);
			case TESTING ->
				findObjectionToUnproven(state, nowMillis).or(() -> findObjectionInTest(state, use, nowMillis));
		};
	}

	private Optional<String> findObjectionToUnproven(RolloutState state, long nowMillis) {
		if (!this.table.isFresh(nowMillis)) {
			return Optional.of("rollout not confirmed by the store for " + this.table.ageMillis(nowMillis) + " ms");
		}
		return state.localFault();
	}

	private Optional<String> findObjectionInTest(RolloutState state, ServerUse use, long nowMillis) {
		if (use.source().filter((source) -> !state.isTarget(source.version())).isPresent()) {
			return Optional.of("generations stay on the old version during the test");
		}
		if (nowMillis >= state.schedule().limitMillis()) {
			return Optional.of("time limit of the test is over");
		}
		return this.table.isTestServer(state, use.server()) ? Optional.empty()
				: Optional.of("test uses other servers of the version");
	}

	private Optional<String> findObjectionToOld(RolloutState state, ServerUse use, long nowMillis) {
		if (state.stage() == RolloutStage.COMPLETED) {
			return Optional.of("version was replaced");
		}
		boolean promoted = state.stage() == RolloutStage.PROMOTING
				&& findObjectionToUnproven(state, nowMillis).isEmpty();
		if (promoted && use.source().isPresent()) {
			return Optional.of("generations move to the new version");
		}
		return findObjectionToVersion(use.server());
	}

	private Optional<String> findObjectionToVersion(ServerRegistration server) {
		return this.table.establishedVersion(server.service())
			.filter((version) -> !version.equals(server.version()))
			.map((version) -> "no rollout names the version, and the established one is " + version);
	}

	@Override
	public boolean isPreferred(ServerUse use, long nowMillis) {
		return this.table.find(use.server().service())
			.filter((state) -> !state.stage().isFinal() && state.isTarget(use.server().version()))
			.filter((state) -> hasRoom(state, nowMillis))
			.isPresent();
	}

	@Override
	public boolean tryAcquire(ServerUse use, long nowMillis) {
		Optional<RolloutState> state = this.table.find(use.server().service())
			.filter((found) -> found.isTarget(use.server().version()));
		return state.map((found) -> tryAcquire(found, nowMillis)).orElse(true);
	}

	private static boolean tryAcquire(RolloutState state, long nowMillis) {
		boolean room = hasRoom(state, nowMillis);
		if (room) {
			state.budget().recordSent();
		}
		return room;
	}

	private static boolean hasRoom(RolloutState state, long nowMillis) {
		return switch (state.stage()) {
			case COMPLETED -> true;
			case ROLLED_BACK -> false;
			case PROMOTING -> state.budget().hasRoom(PROMOTION_BUDGET_FRACTION);
			case TESTING -> state.budget()
				.hasRoomInTest(RolloutSchedule.TEST_BUDGET_FRACTION, state.schedule().elapsedPart(nowMillis));
		};
	}

}
