package org.skylarkspring.bench.experiment;

import java.io.IOException;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Optional;
import java.util.concurrent.ExecutionException;
import java.util.concurrent.ExecutorService;
import java.util.concurrent.Executors;
import java.util.concurrent.Future;
import java.util.concurrent.atomic.AtomicInteger;
import java.util.stream.Stream;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

import org.skylarkspring.bench.model.OutputLengthDistribution;
import org.skylarkspring.core.policy.CorePolicy;
import org.skylarkspring.entry.http.Json;

/**
 * Runs a matrix of experiments and prints the result table. The same seed gives the same
 * table to the last digit. With {@code --output FOLDER} it also writes the results as
 * JSON and as an HTML report.
 */
public final class ExperimentMain {

	private final CommandLine flags;

	private ExperimentMain(CommandLine flags) {
		this.flags = flags;
	}

	/**
	 * Runs the experiments.
	 * @param arguments command line flags
	 * @throws ParseException if a flag is invalid
	 * @throws IOException if the report cannot be written
	 * @throws InterruptedException if the thread is interrupted
	 * @throws ExecutionException if a run fails
	 */
	public static void main(String[] arguments)
			throws ParseException, IOException, InterruptedException, ExecutionException {
		new ExperimentMain(new DefaultParser().parse(options(), arguments)).run();
	}

	private void run() throws IOException, InterruptedException, ExecutionException {
		List<Experiment> experiments = createExperiments();
		List<ResultRow> rows = runAll(experiments);
		System.out.println(ResultRow.formatHeader());
		rows.forEach((row) -> System.out.println(row.formatRow()));
		if (this.flags.hasOption("output")) {
			Path folder = Path.of(this.flags.getOptionValue("output"));
			Files.createDirectories(folder);
			Files.writeString(folder.resolve("experiment.json"), Json.write(rows));
			Files.writeString(folder.resolve("experiment.html"), new HtmlReport(rows).render());
		}
	}

	private List<ResultRow> runAll(List<Experiment> experiments) throws InterruptedException, ExecutionException {
		int threads = Integer.parseInt(this.flags.getOptionValue("threads", "4"));
		ExecutorService executor = Executors.newFixedThreadPool(threads);
		AtomicInteger completed = new AtomicInteger();
		try {
			List<Future<ResultRow>> futures = experiments.stream().map((experiment) -> executor.submit(() -> {
				ResultRow row = experiment.run();
				System.err.printf("%d of %d done%n", completed.incrementAndGet(), experiments.size());
				return row;
			})).toList();
			List<ResultRow> rows = new ArrayList<>();
			for (Future<ResultRow> future : futures) {
				rows.add(future.get());
			}
			return rows;
		}
		finally {
			executor.shutdownNow();
		}
	}

	private List<Experiment> createExperiments() {
		List<Deployment> deployments = Stream
			.of(Deployment.cuadernoAustral(), Deployment.ingendo(), Deployment.largeSingleModelDataCentre())
			.filter((deployment) -> flagValues("deployments", "cuaderno-austral,ingendo")
				.anyMatch(deployment.name()::equals))
			.map(this::withOutputLengths)
			.toList();
		List<CorePolicy> policies = (this.flags.hasOption("all-policies") ? PolicyVariants.all()
				: PolicyVariants.defaults())
			.stream()
			.filter((policy) -> isSelected("policies", policy.name()))
			.toList();
		List<Integer> loads = flagValues("loads", "50,80,100,130").map(Integer::valueOf).toList();
		List<Fault> faults = flagValues("faults", "none").map((name) -> Fault.valueOf(toEnumConstantName(name)))
			.toList();
		List<Long> seeds = flagValues("seeds", "1").map(Long::valueOf).toList();
		Experiment.RetryMode retries = Experiment.RetryMode
			.valueOf(toEnumConstantName(this.flags.getOptionValue("retries", "never")));
		List<Experiment> experiments = new ArrayList<>();
		deployments.forEach((deployment) -> faults
			.forEach((fault) -> loads.forEach((load) -> policies.forEach((policy) -> seeds
				.forEach((seed) -> experiments.add(new Experiment(deployment, policy, load, fault, retries, seed)))))));
		return experiments;
	}

	private Deployment withOutputLengths(Deployment deployment) {
		if (!this.flags.hasOption("lengths")) {
			return deployment;
		}
		String[] parts = this.flags.getOptionValue("lengths").split(",");
		return deployment.withOutputLengths(new OutputLengthDistribution(Double.parseDouble(parts[0]),
				Double.parseDouble(parts[1]), Integer.parseInt(parts[2])));
	}

	private boolean isSelected(String flag, String name) {
		return Optional.ofNullable(this.flags.getOptionValue(flag))
			.map((value) -> List.of(value.split(",")).contains(name))
			.orElse(true);
	}

	private Stream<String> flagValues(String flag, String defaultValue) {
		return Stream.of(this.flags.getOptionValue(flag, defaultValue).split(","));
	}

	private static String toEnumConstantName(String name) {
		return name.toUpperCase(Locale.ROOT).replace('-', '_');
	}

	private static Options options() {
		Options options = new Options();
		Stream.of("deployments", "policies", "loads", "faults", "seeds", "retries", "lengths", "output", "threads")
			.forEach((name) -> options.addOption(Option.builder().longOpt(name).hasArg().get()));
		options.addOption(Option.builder().longOpt("all-policies").get());
		return options;
	}

}
