package org.skylarkspring.cli;

import java.io.IOException;
import java.io.PrintStream;
import java.io.UncheckedIOException;
import java.nio.file.Path;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import com.google.gson.JsonArray;
import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

import org.skylarkspring.core.config.Configuration;
import org.skylarkspring.core.config.ConfigurationValidationResult;
import org.skylarkspring.core.config.ConfigurationValidator;
import org.skylarkspring.core.model.DrainDirective;
import org.skylarkspring.core.model.Verdict;
import org.skylarkspring.entry.api.AdminMessages;
import org.skylarkspring.entry.http.HttpClientException;
import org.skylarkspring.entry.http.HttpClientResponse;
import org.skylarkspring.entry.http.Json;

/**
 * Runs one command of an operator. <pre class="code">
 * ExitCode code = new CommandLineTool(System.getenv(), System.out, System.err).run("status");
 * </pre>
 */
public final class CommandLineTool {

	private static final String CONTROL_ADDRESS_VARIABLE = "SKYLARKSPRING_CONTROL_ADDRESS";

	private static final String ADMIN_KEY_VARIABLE = "SKYLARKSPRING_ADMIN_KEY";

	private static final List<String> LISTABLE_COLLECTIONS = List.of("services", "pools", "workspaces", "data-centres");

	private static final Options OPTIONS = options();

	private final Map<String, String> environment;

	private final PrintStream output;

	private final PrintStream errorOutput;

	/**
	 * Creates a tool.
	 * @param environment environment variables, not {@code null}
	 * @param output receives results, not {@code null}
	 * @param errorOutput receives faults, not {@code null}
	 */
	public CommandLineTool(Map<String, String> environment, PrintStream output, PrintStream errorOutput) {
		this.environment = environment;
		this.output = output;
		this.errorOutput = errorOutput;
	}

	/**
	 * Runs a command.
	 * @param arguments command and flags
	 * @return the exit code
	 */
	public ExitCode run(String... arguments) {
		try {
			CommandLine flags = new DefaultParser().parse(OPTIONS, arguments);
			List<String> words = flags.getArgList();
			if (flags.hasOption("help") || words.isEmpty()) {
				this.output.print(helpText());
				return flags.hasOption("help") ? ExitCode.DONE : ExitCode.USAGE;
			}
			return runCommand(flags, words);
		}
		catch (ParseException ex) {
			return reportUsageError(ex.getMessage());
		}
		catch (HttpClientException ex) {
			this.errorOutput.println("skylarkspring: " + ex.getMessage());
			return (ex.verdict() == Verdict.NOT_RUN) ? ExitCode.REFUSED : ExitCode.UNKNOWN;
		}
		catch (IOException | UncheckedIOException ex) {
			this.errorOutput.println("skylarkspring: " + ex.getMessage());
			return ExitCode.REFUSED;
		}
	}

	private ExitCode runCommand(CommandLine flags, List<String> words) throws IOException {
		return switch (words.get(0)) {
			case "publish" -> (words.size() == 2) ? runPublishCommand(flags, words.get(1))
					: reportUsageError("publish needs a folder");
			case "status" -> runStatusCommand(flags);
			case "drain" -> runDrainCommand(flags, words, true);
			case "restore" -> runDrainCommand(flags, words, false);
			case "config" -> runConfigCommand(flags, words);
			case "list" -> runListCommand(flags, words);
			case "orders" -> runOrdersCommand(flags);
			default -> reportUsageError("unknown command '" + words.get(0) + "'");
		};
	}

	private ExitCode runConfigCommand(CommandLine flags, List<String> words) throws IOException {
		if (words.size() == 3 && words.get(1).equals("check")) {
			return checkConfiguration(words.get(2)).map((configuration) -> {
				this.output.println("sound: " + summarize(configuration));
				return ExitCode.DONE;
			}).orElse(ExitCode.REFUSED);
		}
		if (words.size() == 2 && words.get(1).equals("show")) {
			try (AdminClient client = createClient(flags)) {
				this.output.println(client.fetchConfiguration("configuration").body());
				return ExitCode.DONE;
			}
		}
		return reportUsageError("use 'config check FOLDER' or 'config show'");
	}

	private ExitCode runListCommand(CommandLine flags, List<String> words) throws IOException {
		if (words.size() != 2 || !LISTABLE_COLLECTIONS.contains(words.get(1))) {
			return reportUsageError("list needs one of " + LISTABLE_COLLECTIONS);
		}
		try (AdminClient client = createClient(flags)) {
			JsonArray entries = Json.read(client.fetchConfiguration(words.get(1)).body(), JsonArray.class)
				.orElseGet(JsonArray::new);
			entries.forEach((entry) -> this.output.println(entry));
			return ExitCode.DONE;
		}
	}

	private ExitCode runOrdersCommand(CommandLine flags) throws IOException {
		try (AdminClient client = createClient(flags)) {
			Optional<Configuration> configuration = Json.read(client.fetchConfiguration("configuration").body(),
					Configuration.class);
			Optional<AdminMessages.StatusResponse> status = Json.read(client.fetchStatus().body(),
					AdminMessages.StatusResponse.class);
			if (configuration.isEmpty() || status.isEmpty()) {
				throw new IOException("the instance has no configuration yet");
			}
			new ModelVersionPrinter(this.output).print(configuration.get(), status.get());
			return ExitCode.DONE;
		}
	}

	private ExitCode runPublishCommand(CommandLine flags, String folder) throws IOException {
		Optional<Configuration> configuration = checkConfiguration(folder);
		if (configuration.isEmpty()) {
			return ExitCode.REFUSED;
		}
		long expected = Long.parseLong(flags.getOptionValue("expect", "-1"));
		try (AdminClient client = createClient(flags)) {
			return printResult(flags, client.postCommand("/admin/publish",
					new AdminMessages.PublishRequest(configuration.get(), expected)));
		}
	}

	private ExitCode runDrainCommand(CommandLine flags, List<String> words, boolean drained) throws IOException {
		Optional<DrainDirective.TargetKind> kind = (words.size() == 3) ? parseTargetKind(words.get(1))
				: Optional.empty();
		if (kind.isEmpty()) {
			return reportUsageError(words.get(0) + " needs 'data-centre NAME' or 'server NAME'");
		}
		try (AdminClient client = createClient(flags)) {
			return printResult(flags, client.postCommand("/admin/drain",
					new AdminMessages.DrainRequest(kind.get(), words.get(2), drained)));
		}
	}

	private ExitCode runStatusCommand(CommandLine flags) throws IOException {
		try (AdminClient client = createClient(flags)) {
			HttpClientResponse reply = client.fetchStatus();
			if (flags.hasOption("json")) {
				this.output.println(reply.body());
				return ExitCode.DONE;
			}
			Json.read(reply.body(), AdminMessages.StatusResponse.class)
				.ifPresent((status) -> new StatusPrinter(this.output).print(status));
			return ExitCode.DONE;
		}
	}

	private ExitCode printResult(CommandLine flags, AdminMessages.CommandResult result) {
		this.output.println(flags.hasOption("json") ? Json.write(result) : result.message());
		if (result.verdict().equals(Verdict.RAN.wireName())) {
			return ExitCode.DONE;
		}
		return result.verdict().equals(Verdict.NOT_RUN.wireName()) ? ExitCode.REFUSED : ExitCode.UNKNOWN;
	}

	private Optional<Configuration> checkConfiguration(String folder) throws IOException {
		ConfigurationValidationResult result = new ConfigurationValidator()
			.validate(ConfigurationFiles.read(Path.of(folder)));
		if (result instanceof ConfigurationValidationResult.Rejected rejected) {
			rejected.errors().forEach((fault) -> this.errorOutput.println(fault));
			this.errorOutput.println(rejected.errors().size() + " fault(s); nothing was changed");
			return Optional.empty();
		}
		return Optional.of(((ConfigurationValidationResult.Accepted) result).configuration());
	}

	private AdminClient createClient(CommandLine flags) throws IOException {
		String address = Optional.ofNullable(flags.getOptionValue("control-address"))
			.or(() -> Optional.ofNullable(this.environment.get(CONTROL_ADDRESS_VARIABLE)))
			.orElseThrow(() -> new IOException("give --control-address or set " + CONTROL_ADDRESS_VARIABLE));
		String key = Optional.ofNullable(this.environment.get(ADMIN_KEY_VARIABLE))
			.orElseThrow(() -> new IOException("set " + ADMIN_KEY_VARIABLE));
		return new AdminClient(address, key);
	}

	private ExitCode reportUsageError(String fault) {
		this.errorOutput.println("skylarkspring: " + fault + "; see --help");
		return ExitCode.USAGE;
	}

	private static Optional<DrainDirective.TargetKind> parseTargetKind(String word) {
		return switch (word) {
			case "data-centre" -> Optional.of(DrainDirective.TargetKind.DATA_CENTRE);
			case "server" -> Optional.of(DrainDirective.TargetKind.SERVER);
			default -> Optional.empty();
		};
	}

	private static String summarize(Configuration configuration) {
		return configuration.services().size() + " services, " + configuration.pools().size() + " pools, "
				+ configuration.workspaces().size() + " workspaces, " + configuration.dataCentres().size()
				+ " data centres";
	}

	private static Options options() {
		Options options = new Options();
		options.addOption(Option.builder().longOpt("control-address").hasArg().get());
		options.addOption(Option.builder().longOpt("expect").hasArg().get());
		options.addOption(Option.builder().longOpt("json").get());
		options.addOption(Option.builder("h").longOpt("help").get());
		return options;
	}

	private static String helpText() {
		return """
				usage: skylarkspring [flags] COMMAND

				commands:
				  publish FOLDER            check all configuration files below a folder and put them in force
				  config check FOLDER       check the files and change nothing
				  config show               print the configuration in force
				  list services             list services; also pools, workspaces, data-centres
				  orders                    show which model version each server has and should have
				  status                    show where which revision is in force, and the backend servers
				  drain data-centre NAME    send no new work to a data centre
				  drain server NAME         send no new work to a backend server
				  restore data-centre NAME  take a data centre back in
				  restore server NAME       take a backend server back in

				flags:
				  --control-address IP:PORT  control address of an entry instance,
				                             default $SKYLARKSPRING_CONTROL_ADDRESS
				  --expect REVISION          publish only over this revision
				  --json                     print the answer as JSON
				  -h, --help                 print this help

				The admin key is read from $SKYLARKSPRING_ADMIN_KEY.
				exit codes: 0 done, 1 refused and nothing changed, 2 usage, 3 not known whether it took effect
				""";
	}

}
