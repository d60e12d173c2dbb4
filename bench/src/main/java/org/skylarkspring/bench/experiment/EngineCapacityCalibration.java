package org.skylarkspring.bench.experiment;

import java.util.SplittableRandom;

import org.skylarkspring.bench.model.EngineJob;
import org.skylarkspring.bench.model.EngineModel;
import org.skylarkspring.bench.model.EngineStep;

/**
 * Measures the capacity of one engine: the highest request rate at a constant number of
 * sequences for which more than 95% of the steps stay within the target time between
 * tokens and fewer than one preemption occurs per 100 completed requests.
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
			boolean withinLimits = trial.slowStepRatio() < 0.05
					&& trial.preemptionsPerRequest() < MAXIMUM_PREEMPTIONS_PER_REQUEST;
			best = withinLimits ? Math.max(best, trial.requestsPerSecond()) : best;
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
		long slowSteps = 0;
		while (elapsedMillis < SIMULATED_MILLIS) {
			EngineStep step = engine.step();
			elapsedMillis += step.durationMillis();
			steps++;
			slowSteps += (step.durationMillis() > STEP_TARGET_MILLIS) ? 1 : 0;
			long completedInStep = step.tokens().stream().filter(EngineStep.ProducedToken::last).count();
			completed += completedInStep;
			for (long index = 0; index < completedInStep; index++) {
				engine.submit(createJob(deployment, random, submitted++));
			}
		}
		return new TrialResult(completed / (elapsedMillis / 1_000), slowSteps / (double) steps,
				engine.preemptions() / (double) Math.max(1, completed));
	}

	private static EngineJob createJob(Deployment deployment, SplittableRandom random, long jobNumber) {
		boolean prefixed = random.nextBoolean();
		return new EngineJob("c" + jobNumber, MEAN_PROMPT_TOKENS, prefixed ? 1 + random.nextInt(40) : 0,
				prefixed ? 512 : 0, deployment.outputLengths().sample(random), 0);
	}

	private record TrialResult(double requestsPerSecond, double slowStepRatio, double preemptionsPerRequest) {
	}

}
