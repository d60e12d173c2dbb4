package org.skylarkspring.bench.experiment;

import java.util.SplittableRandom;

import org.skylarkspring.bench.model.EngineJob;
import org.skylarkspring.bench.model.EngineModel;
import org.skylarkspring.bench.model.EngineStep;

/**
 * Finds the capacity of one engine: the highest rate of requests at a constant number of
 * running sequences such that 95 in 100 steps stay within the aim between tokens and
 * fewer than one request in a hundred is preempted.
 */
final class EngineCapacityCalibration {

	private static final double STEP_TARGET_MILLIS = 66;

	private static final double MAXIMUM_PREEMPTIONS_PER_REQUEST = 0.01;

	private static final double SIMULATED_MILLIS = 600_000;

	private static final int MEAN_PROMPT_TOKENS = 556;

	private static final long SEED = 99;

	private EngineCapacityCalibration() {
	}

	static double measureEngineRequestsPerSecond(Deployment deployment) {
		double best = 0;
		for (int concurrency = 4; concurrency <= deployment.engineProfile().maximumBatchSize(); concurrency += 2) {
			TrialResult trial = runTrial(deployment, concurrency);
			boolean sound = trial.slowStepRatio() < 0.05
					&& trial.preemptionsPerRequest() < MAXIMUM_PREEMPTIONS_PER_REQUEST;
			best = sound ? Math.max(best, trial.requestsPerSecond()) : best;
		}
		return best;
	}

	private static TrialResult runTrial(Deployment deployment, int concurrency) {
		SplittableRandom random = new SplittableRandom(SEED);
		EngineModel engine = new EngineModel("calibration", deployment.engineProfile(), SEED, 1, true);
		long submitted = 0;
		for (int index = 0; index < concurrency; index++) {
			engine.submit(createJob(deployment, random, submitted++));
		}
		double elapsedMillis = 0;
		long completed = 0;
		long steps = 0;
		long slow = 0;
		while (elapsedMillis < SIMULATED_MILLIS) {
			EngineStep step = engine.step();
			elapsedMillis += step.durationMillis();
			steps++;
			slow += (step.durationMillis() > STEP_TARGET_MILLIS) ? 1 : 0;
			long ended = step.tokens().stream().filter(EngineStep.ProducedToken::last).count();
			completed += ended;
			for (long index = 0; index < ended; index++) {
				engine.submit(createJob(deployment, random, submitted++));
			}
		}
		return new TrialResult(completed / (elapsedMillis / 1_000), slow / (double) steps,
				engine.preemptions() / (double) Math.max(1, completed));
	}

	private static EngineJob createJob(Deployment deployment, SplittableRandom random, long number) {
		boolean prefixed = random.nextBoolean();
		return new EngineJob("c" + number, MEAN_PROMPT_TOKENS, prefixed ? 1 + random.nextInt(40) : 0,
				prefixed ? 512 : 0, deployment.outputLengths().sample(random), 0);
	}

	private record TrialResult(double requestsPerSecond, double slowStepRatio, double preemptionsPerRequest) {
	}

}
