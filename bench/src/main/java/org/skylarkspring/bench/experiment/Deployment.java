package org.skylarkspring.bench.experiment;

import java.util.List;
import java.util.stream.IntStream;

import org.skylarkspring.bench.model.EngineProfile;
import org.skylarkspring.bench.model.OutputLengthDistribution;
import org.skylarkspring.core.config.Configuration;
import org.skylarkspring.core.config.DataCentreConfiguration;
import org.skylarkspring.core.config.PoolConfiguration;
import org.skylarkspring.core.config.ServiceConfiguration;
import org.skylarkspring.core.config.ServiceKind;
import org.skylarkspring.core.config.WorkspaceConfiguration;
import org.skylarkspring.core.model.WorkClass;

/**
 * A deployment to experiment with.
 *
 * @param name name shown in tables
 * @param service name of the model service
 * @param dataCentres its data centres
 * @param engineCount number of engines, spread over the data centres
 * @param entryInstanceCount number of entry instances, spread over the data centres
 * @param engineProfile speed and memory of an engine
 * @param outputLengths lengths of generations
 * @param workspaces its workspaces with their part of the load
 * @param modelVersion model version to be loaded, empty for no orders
 * @param pollIntervalMillis time between two polls of a server by one instance
 */
public record Deployment(String name, String service, List<String> dataCentres, int engineCount, int entryInstanceCount,
		EngineProfile engineProfile, OutputLengthDistribution outputLengths, List<WorkspaceLoad> workspaces,
		String modelVersion, long pollIntervalMillis) {

	/** Name of the plain service of every deployment. */
	public static final String PLAIN_SERVICE = "bookings";

	private static final int FULL_CONCURRENCY = 64;

	private static final long POLL_INTERVAL_MILLIS = 500;

	private static final long WARMUP_MILLIS = 30_000;

	private static final OutputLengthDistribution OUTPUT_LENGTHS = new OutputLengthDistribution(180, 1.2, 16_000);

	/**
	 * Returns the deployment of the diaries: mostly drafts with deadlines.
	 * @return the deployment
	 */
	public static Deployment cuadernoAustral() {
		return new Deployment("cuaderno-austral", "modelo-editorial",
				List.of("ar-centro-a", "ar-centro-b", "ar-centro-c"), 8, 7, EngineProfile.standard(), OUTPUT_LENGTHS,
				workspaces(WorkClass.DEADLINE, WorkClass.INTERACTIVE), "", POLL_INTERVAL_MILLIS);
	}

	/**
	 * Returns the deployment of the care plans: mostly answers read as they stream.
	 * @return the deployment
	 */
	public static Deployment ingendo() {
		return new Deployment("ingendo", "inyigisho", List.of("kigali-a", "kigali-b", "kigali-c"), 6, 6,
				EngineProfile.standard(), OUTPUT_LENGTHS, workspaces(WorkClass.INTERACTIVE, WorkClass.DEADLINE), "",
				POLL_INTERVAL_MILLIS);
	}

	/**
	 * Returns one model in one data centre at the size of the letter: a thirteenth of 410
	 * entry instances before an eighth of a thirteenth of 1,300 engines, polled as rarely
	 * as the budget for control asks.
	 * @return the deployment
	 */
	public static Deployment largeSingleModelDataCentre() {
		return new Deployment("letter-data-centre", "model-1", List.of("dc-1"), 12, 32, EngineProfile.standard(),
				OUTPUT_LENGTHS, workspaces(WorkClass.INTERACTIVE, WorkClass.DEADLINE), "", 5_000);
	}

	/**
	 * Returns the same deployment with other lengths.
	 * @param newLengths lengths of generations
	 * @return a new deployment
	 */
	public Deployment withOutputLengths(OutputLengthDistribution newLengths) {
		return new Deployment(this.name, this.service, this.dataCentres, this.engineCount, this.entryInstanceCount,
				this.engineProfile, newLengths, this.workspaces, this.modelVersion, this.pollIntervalMillis);
	}

	/**
	 * Returns the same deployment with other engines.
	 * @param newProfile speed and memory of an engine
	 * @return a new deployment
	 */
	public Deployment withEngineProfile(EngineProfile newProfile) {
		return new Deployment(this.name, this.service, this.dataCentres, this.engineCount, this.entryInstanceCount,
				newProfile, this.outputLengths, this.workspaces, this.modelVersion, this.pollIntervalMillis);
	}

	/**
	 * Returns the same deployment with orders to load a model version.
	 * @param newModelVersion the version
	 * @return a new deployment
	 */
	public Deployment withModelVersion(String newModelVersion) {
		return new Deployment(this.name, this.service, this.dataCentres, this.engineCount, this.entryInstanceCount,
				this.engineProfile, this.outputLengths, this.workspaces, newModelVersion, this.pollIntervalMillis);
	}

	String dataCentreAt(int index) {
		return this.dataCentres.get(index % this.dataCentres.size());
	}

	// One more than there are, for replacements.
	private int maximumInstancesPerDataCentre() {
		return (this.entryInstanceCount + this.dataCentres.size() - 1) / this.dataCentres.size() + 1;
	}

	Configuration configuration() {
		List<DataCentreConfiguration> centres = this.dataCentres.stream()
			.map((centre) -> new DataCentreConfiguration(centre, "region"))
			.toList();
		PoolConfiguration pool = new PoolConfiguration(this.service, this.dataCentres, WARMUP_MILLIS,
				this.engineProfile.coldBatchSize(), FULL_CONCURRENCY, maximumInstancesPerDataCentre(),
				this.modelVersion, 2, 1);
		ServiceConfiguration model = new ServiceConfiguration(this.service, ServiceKind.GENERATION, this.service, 1_800,
				66, 10_000, 262_144, 86_400_000);
		ServiceConfiguration plain = new ServiceConfiguration(PLAIN_SERVICE, ServiceKind.PLAIN, PLAIN_SERVICE, 1_800,
				66, 10_000, 262_144, 86_400_000);
		PoolConfiguration plainPool = new PoolConfiguration(PLAIN_SERVICE, this.dataCentres, WARMUP_MILLIS, 4,
				FULL_CONCURRENCY, maximumInstancesPerDataCentre(), "", 0, 1);
		List<WorkspaceConfiguration> policies = this.workspaces.stream()
			.map((load) -> new WorkspaceConfiguration(load.name(), load.name(), load.weight(), load.workClass(),
					List.of(this.service, PLAIN_SERVICE)))
			.toList();
		return new Configuration(1, "experiment", List.of(model, plain), List.of(pool, plainPool), policies, centres);
	}

	// A few workspaces bring most of the load.
	private static List<WorkspaceLoad> workspaces(WorkClass main, WorkClass other) {
		double[] parts = { 0.38, 0.22, 0.12, 0.08, 0.05, 0.05, 0.04, 0.03, 0.02, 0.01 };
		return IntStream.range(0, parts.length)
			.mapToObj((index) -> new WorkspaceLoad("w" + index, (index % 4 == 3) ? other : main, 1, parts[index]))
			.toList();
	}

	/**
	 * The load of one workspace.
	 *
	 * @param name name of the workspace
	 * @param workClass its class
	 * @param weight its share
	 * @param loadFraction its part of all requests
	 */
	public record WorkspaceLoad(String name, WorkClass workClass, int weight, double loadFraction) {
	}

}
