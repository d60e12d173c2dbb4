package org.skylarkspring.gateway.admission;

import java.util.List;
import java.util.function.Consumer;
import java.util.function.Predicate;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThan;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Replays loads for which admission control is made, and compares what callers get with
 * what they get when every request is dispatched at once.
 */
class AdmissionLoadTests {

	private static final int WORKSPACES = 24;

	private static final double SHARE_EXPONENT = -1.2;

	private static final double SUMMARIES_PER_SECOND = 12.7;

	private static final double ANSWERS_PER_SECOND = 24.8;

	private static final int LOAD_MILLIS = 30_000;

	private static final int TOO_FEW_ENGINES = 12;

	private static final int JUST_TOO_FEW_ENGINES = 16;

	private static final int AMPLE_ENGINES = 30;

	private static final String HOT = "hot";

	private static ClusterModel run(boolean controlled, int engines, long seed, Consumer<ClusterModel> load) {
		ClusterModel model = new ClusterModel(controlled, engines, seed);
		load.accept(model);
		model.run().assertAllEnded();
		return model;
	}

	private static void addUsualLoad(ClusterModel model, double factor) {
		double sum = 0;
		for (int rank = 1; rank <= WORKSPACES; rank++) {
			sum += Math.pow(rank, SHARE_EXPONENT);
		}
		for (int rank = 1; rank <= WORKSPACES; rank++) {
			double share = factor * Math.pow(rank, SHARE_EXPONENT) / sum;
			model.addLoad(ModelRequest.Kind.SUMMARY, "w" + rank, SUMMARIES_PER_SECOND * share, 0, LOAD_MILLIS);
			model.addLoad(ModelRequest.Kind.ANSWER, "w" + rank, ANSWERS_PER_SECOND * share, 0, LOAD_MILLIS);
		}
	}

	private static Predicate<ModelRequest> isOf(ModelRequest.Kind kind) {
		return (request) -> request.kind.equals(kind);
	}

	private static String describe(ClusterModel before, ClusterModel now) {
		return before.describe() + " / " + now.describe();
	}

	@Nested
	class Memory {

		// Guards against serving fewer callers in time than without admission control.
		@ParameterizedTest
		@ValueSource(longs = { 7, 8, 9 })
		void moreOfEachClassIsServedInTimeWhenMemoryIsFarTooSmall(long seed) {
			Consumer<ClusterModel> load = (model) -> addUsualLoad(model, 1);
			ClusterModel before = run(false, TOO_FEW_ENGINES, seed, load);
			ClusterModel now = run(true, TOO_FEW_ENGINES, seed, load);
			String both = describe(before, now);
			List.of(ModelRequest.Kind.SUMMARY, ModelRequest.Kind.ANSWER)
				.forEach((kind) -> assertThat(both, now.shareInTime(isOf(kind)),
						greaterThanOrEqualTo(before.shareInTime(isOf(kind)))));
			assertThat(both, now.value(), greaterThan(before.value()));
			assertThat(both, now.count(ModelRequest.Outcome.DEADLINE_EXCEEDED, (request) -> true),
					lessThan(before.count(ModelRequest.Outcome.DEADLINE_EXCEEDED, (request) -> true)));
		}

		@ParameterizedTest
		@ValueSource(longs = { 7, 8, 9 })
		void moreValueIsServedWhenMemoryIsJustTooSmall(long seed) {
			Consumer<ClusterModel> load = (model) -> addUsualLoad(model, 1);
			ClusterModel before = run(false, JUST_TOO_FEW_ENGINES, seed, load);
			ClusterModel now = run(true, JUST_TOO_FEW_ENGINES, seed, load);
			assertThat(describe(before, now), now.value(), greaterThan(before.value()));
			assertThat(describe(before, now), now.shareInTime((request) -> true),
					greaterThanOrEqualTo(before.shareInTime((request) -> true)));
		}

		// Guards against holding a refused request: its caller could have gone elsewhere.
		@Test
		void refusalsAreImmediate() {
			ClusterModel now = run(true, TOO_FEW_ENGINES, 7, (model) -> addUsualLoad(model, 2));
			assertThat(now.describe(), now.count(ModelRequest.Outcome.REFUSED_AT_ONCE, (request) -> true),
					greaterThan(0L));
			assertThat(now.describe(), now.count(ModelRequest.Outcome.REFUSED_LATE, (request) -> true),
					lessThanOrEqualTo(now.count(ModelRequest.Outcome.REFUSED_AT_ONCE, (request) -> true) / 20));
		}

	}

	@Nested
	class Fairness {

		private Predicate<ModelRequest> isHot(boolean hot) {
			return (request) -> request.workspace.equals(HOT) == hot;
		}

		// Guards against a workspace that displaces the others by sending more.
		@ParameterizedTest
		@ValueSource(longs = { 7, 8, 9 })
		void othersKeepTheirServiceWhenOneWorkspaceSendsMostRequests(long seed) {
			Consumer<ClusterModel> load = (model) -> {
				addUsualLoad(model, 0.5);
				model.addLoad(ModelRequest.Kind.SUMMARY, HOT, SUMMARIES_PER_SECOND, 0, LOAD_MILLIS);
				model.addLoad(ModelRequest.Kind.ANSWER, HOT, ANSWERS_PER_SECOND, 0, LOAD_MILLIS);
			};
			ClusterModel before = run(false, JUST_TOO_FEW_ENGINES, seed, load);
			ClusterModel now = run(true, JUST_TOO_FEW_ENGINES, seed, load);
			assertThat(describe(before, now), now.shareInTime(isHot(false)),
					greaterThan(before.shareInTime(isHot(false))));
			assertThat(describe(before, now), now.shareInTime(isHot(false)), greaterThan(now.shareInTime(isHot(true))));
		}

		@ParameterizedTest
		@ValueSource(longs = { 7, 8, 9 })
		void othersKeepTheirServiceDuringBurstOfOneKey(long seed) {
			Consumer<ClusterModel> load = (model) -> {
				addUsualLoad(model, 0.7);
				for (int index = 0; index < 200; index++) {
					model.addRequest(ModelRequest.Kind.SUMMARY, HOT, 10_000 + 10L * index);
				}
			};
			ClusterModel before = run(false, JUST_TOO_FEW_ENGINES, seed, load);
			ClusterModel now = run(true, JUST_TOO_FEW_ENGINES, seed, load);
			assertThat(describe(before, now), now.shareInTime(isHot(false)),
					greaterThan(before.shareInTime(isHot(false))));
		}

	}

	@Nested
	class Room {

		// Guards against any effect while servers have room.
		@ParameterizedTest
		@ValueSource(longs = { 7, 8, 9 })
		void nothingWaitsAndAllIsServedAsBeforeWhileThereIsRoom(long seed) {
			Consumer<ClusterModel> load = (model) -> addUsualLoad(model, 1);
			ClusterModel before = run(false, AMPLE_ENGINES, seed, load);
			ClusterModel now = run(true, AMPLE_ENGINES, seed, load);
			assertThat(describe(before, now), now.waits(), is(0));
			assertThat(describe(before, now), now.shareInTime((request) -> true), is(1.0));
		}

		@Test
		void shortBurstIsServedInTimeAsBefore() {
			Consumer<ClusterModel> load = (model) -> {
				addUsualLoad(model, 0.5);
				for (int index = 0; index < 40; index++) {
					model.addRequest(ModelRequest.Kind.SUMMARY, "w" + index % WORKSPACES, 10_000);
				}
			};
			ClusterModel before = run(false, JUST_TOO_FEW_ENGINES, 7, load);
			ClusterModel now = run(true, JUST_TOO_FEW_ENGINES, 7, load);
			assertThat(describe(before, now), now.value(), greaterThanOrEqualTo(before.value()));
		}

	}

}
