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
 * A deployment that experiments simulate.
 *
 * @param name name shown in result tables
 * @param service name of the model service
 * @param dataCentres names of the data centres
 * @param engineCount number of engines, distributed over the data centres
 * @param entryInstanceCount number of entry instances, distributed over the data centres
 * @param engineProfile speed and memory of an engine
 * @param outputLengths distribution of the output lengths, in tokens
 * @param workspaces workspaces with their fractions of the load
 * @param modelVersion model version that the engines must load, empty for no load
 * commands
 * @param pollIntervalMillis interval in milliseconds at which an instance polls a server
 */
public record Deployment(String name, String service, List<String> dataCentres, int engineCount, int entryInstanceCount,
		EngineProfile engineProfile, OutputLengthDistribution outputLengths, List<WorkspaceLoad> workspaces,
		String modelVersion, long pollIntervalMillis) {

	/** Name of the plain service that every deployment has. */
	public static final String PLAIN_SERVICE = "bookings";

	private static final int FULL_CONCURRENCY = 64;

	private static final long POLL_INTERVAL_MILLIS = 500;

	private static final long WARMUP_MILLIS = 30_000;

	private static final OutputLengthDistribution OUTPUT_LENGTHS = new OutputLengthDistribution(180, 1.2, 16_000);

	/**
	 * Returns a deployment for writing diaries. Most workspaces have the deadline class,
	 * for drafts that must be ready by a deadline.
	 * @return the deployment
	 */
	public static Deployment cuadernoAustral() {
		return new Deployment("cuaderno-austral", "modelo-editorial",
				List.of("ar-centro-a", "ar-centro-b", "ar-centro-c"), 8, 7, EngineProfile.standard(), OUTPUT_LENGTHS,
				workspaces(WorkClass.DEADLINE, WorkClass.INTERACTIVE), "", POLL_INTERVAL_MILLIS);
	}

	/**
	 * Returns a deployment for writing care plans. Most workspaces have the interactive
	 * class, for responses that are read while they stream.
	 * @return the deployment
	 */
	public static Deployment ingendo() {
		return new Deployment("ingendo", "inyigisho", List.of("kigali-a", "kigali-b", "kigali-c"), 6, 6,
				EngineProfile.standard(), OUTPUT_LENGTHS, workspaces(WorkClass.INTERACTIVE, WorkClass.DEADLINE), "",
				POLL_INTERVAL_MILLIS);
	}

	/**
	 * Returns a deployment with one model in one data centre, scaled down from a large
	 * installation: a thirteenth of its 410 entry instances and an eighth of a thirteenth
	 * of its 1,300 engines. The long poll interval keeps the control traffic within its
	 * budget.
	 * @return the deployment
	 */
	public static Deployment largeSingleModelDataCentre() {
		return new Deployment("letter-data-centre", "model-1", List.of("dc-1"), 12, 32, EngineProfile.standard(),
				OUTPUT_LENGTHS, workspaces(WorkClass.INTERACTIVE, WorkClass.DEADLINE), "", 5_000);
	}

	/**
	 * Returns a copy of this deployment with other output lengths.
	 * @param newLengths distribution of the output lengths, in tokens
	 * @return a new deployment
	 */
	public Deployment withOutputLengths(OutputLengthDistribution newLengths) {
		return new Deployment(this.name, this.service, this.dataCentres, this.engineCount, this.entryInstanceCount,
				this.engineProfile, newLengths, this.workspaces, this.modelVersion, this.pollIntervalMillis);
	}

	/**
	 * Returns a copy of this deployment with another engine profile.
	 * @param newProfile speed and memory of an engine
	 * @return a new deployment
	 */
	public Deployment withEngineProfile(EngineProfile newProfile) {
		return new Deployment(this.name, this.service, this.dataCentres, this.engineCount, this.entryInstanceCount,
				newProfile, this.outputLengths, this.workspaces, this.modelVersion, this.pollIntervalMillis);
	}

	/**
	 * Returns a copy of this deployment whose engines must load a model version.
	 * @param newModelVersion the model version
	 * @return a new deployment
	 */
	public Deployment withModelVersion(String newModelVersion) {
		return new Deployment(this.name, this.service, this.dataCentres, this.engineCount, this.entryInstanceCount,
				this.engineProfile, this.outputLengths, this.workspaces, newModelVersion, this.pollIntervalMillis);
	}

	String dataCentreAt(int index) {
		return this.dataCentres.get(index % this.dataCentres.size());
	}

	// Allows one more instance per data centre than the deployment has, for replacements.
	private int maximumInstancesPerDataCentre() {
		return (this.entryInstanceCount + this.dataCentres.size() - 1) / this.dataCentres.size() + 1;
	}

	Configuration configuration() {
		List<DataCentreConfiguration> dataCentreConfigurations = this.dataCentres.stream()
			.map((dataCentre) -> new DataCentreConfiguration(dataCentre, "region"))
			.toList();
		PoolConfiguration modelPool = new PoolConfiguration(this.service, this.dataCentres, WARMUP_MILLIS,
				this.engineProfile.coldBatchSize(), FULL_CONCURRENCY, maximumInstancesPerDataCentre(),
				this.modelVersion, 2, 1);
		ServiceConfiguration modelService = new ServiceConfiguration(this.service, ServiceKind.GENERATION, this.service,
				1_800, 66, 10_000, 262_144, 86_400_000);
		ServiceConfiguration plainService = new ServiceConfiguration(PLAIN_SERVICE, ServiceKind.PLAIN, PLAIN_SERVICE,
				1_800, 66, 10_000, 262_144, 86_400_000);
		PoolConfiguration plainPool = new PoolConfiguration(PLAIN_SERVICE, this.dataCentres, WARMUP_MILLIS, 4,
				FULL_CONCURRENCY, maximumInstancesPerDataCentre(), "", 0, 1);
		List<WorkspaceConfiguration> workspaceConfigurations = this.workspaces.stream()
			.map((load) -> new WorkspaceConfiguration(load.name(), load.name(), load.weight(), load.workClass(),
					List.of(this.service, PLAIN_SERVICE)))
			.toList();
		return new Configuration(1, "experiment", List.of(modelService, plainService), List.of(modelPool, plainPool),
				workspaceConfigurations, dataCentreConfigurations);
	}

	// A few workspaces send most of the requests.
	private static List<WorkspaceLoad> workspaces(WorkClass mainClass, WorkClass otherClass) {
		double[] loadFractions = { 0.38, 0.22, 0.12, 0.08, 0.05, 0.05, 0.04, 0.03, 0.02, 0.01 };
		return IntStream.range(0, loadFractions.length)
			.mapToObj((index) -> new WorkspaceLoad("w" + index, (index % 4 == 3) ? otherClass : mainClass, 1,
					loadFractions[index]))
			.toList();
	}

	/**
	 * Load of one workspace.
	 *
	 * @param name name of the workspace
	 * @param workClass work class of the workspace
	 * @param weight weight of the workspace in fair sharing
	 * @param loadFraction fraction of all requests that the workspace sends
	 */
	public record WorkspaceLoad(String name, WorkClass workClass, int weight, double loadFraction) {
	}

}
