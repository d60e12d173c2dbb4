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
 * Parses the command line and runs one operator command. <pre class="code">
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
	 * @param output stream for results, not {@code null}
	 * @param errorOutput stream for error messages, not {@code null}
	 */
	public CommandLineTool(Map<String, String> environment, PrintStream output, PrintStream errorOutput) {
		this.environment = environment;
		this.output = output;
		this.errorOutput = errorOutput;
	}

	/**
	 * Runs a command.
	 * @param arguments command, its arguments and flags
	 * @return the exit code
	 */
	public ExitCode run(String... arguments) {
		try {
			CommandLine flags = new DefaultParser().parse(OPTIONS, arguments);
			List<String> positionals = flags.getArgList();
			if (flags.hasOption("help") || positionals.isEmpty()) {
				this.output.print(helpText());
				return flags.hasOption("help") ? ExitCode.DONE : ExitCode.USAGE;
			}
			return runCommand(flags, positionals);
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

	private ExitCode runCommand(CommandLine flags, List<String> positionals) throws IOException {
		return switch (positionals.get(0)) {
			case "publish" -> (positionals.size() == 2) ? runPublishCommand(flags, positionals.get(1))
					: reportUsageError("publish requires a folder");
			case "status" -> runStatusCommand(flags);
			case "drain" -> runDrainCommand(flags, positionals, true);
			case "restore" -> runDrainCommand(flags, positionals, false);
			case "config" -> runConfigCommand(flags, positionals);
			case "list" -> runListCommand(flags, positionals);
			case "orders" -> runOrdersCommand(flags);
			default -> reportUsageError("unknown command '" + positionals.get(0) + "'");
		};
	}

	private ExitCode runConfigCommand(CommandLine flags, List<String> positionals) throws IOException {
		if (positionals.size() == 3 && positionals.get(1).equals("check")) {
			return checkConfiguration(positionals.get(2)).map((configuration) -> {
				this.output.println("configuration is valid: " + summarize(configuration));
				return ExitCode.DONE;
			}).orElse(ExitCode.REFUSED);
		}
		if (positionals.size() == 2 && positionals.get(1).equals("show")) {
			try (AdminClient client = createClient(flags)) {
				this.output.println(client.fetchConfiguration("configuration").body());
				return ExitCode.DONE;
			}
		}
		return reportUsageError("use 'config check FOLDER' or 'config show'");
	}

	private ExitCode runListCommand(CommandLine flags, List<String> positionals) throws IOException {
		if (positionals.size() != 2 || !LISTABLE_COLLECTIONS.contains(positionals.get(1))) {
			return reportUsageError("list requires one of " + LISTABLE_COLLECTIONS);
		}
		try (AdminClient client = createClient(flags)) {
			JsonArray entries = Json.read(client.fetchConfiguration(positionals.get(1)).body(), JsonArray.class)
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
		long expectedRevision = Long.parseLong(flags.getOptionValue("expect", "-1"));
		try (AdminClient client = createClient(flags)) {
			return printResult(flags, client.postCommand("/admin/publish",
					new AdminMessages.PublishRequest(configuration.get(), expectedRevision)));
		}
	}

	private ExitCode runDrainCommand(CommandLine flags, List<String> positionals, boolean drained) throws IOException {
		Optional<DrainDirective.TargetKind> kind = (positionals.size() == 3) ? parseTargetKind(positionals.get(1))
				: Optional.empty();
		if (kind.isEmpty()) {
			return reportUsageError(positionals.get(0) + " requires 'data-centre NAME' or 'server NAME'");
		}
		try (AdminClient client = createClient(flags)) {
			return printResult(flags, client.postCommand("/admin/drain",
					new AdminMessages.DrainRequest(kind.get(), positionals.get(2), drained)));
		}
	}

	private ExitCode runStatusCommand(CommandLine flags) throws IOException {
		try (AdminClient client = createClient(flags)) {
			HttpClientResponse response = client.fetchStatus();
			if (flags.hasOption("json")) {
				this.output.println(response.body());
				return ExitCode.DONE;
			}
			Json.read(response.body(), AdminMessages.StatusResponse.class)
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
			rejected.errors().forEach((error) -> this.errorOutput.println(error));
			this.errorOutput.println(rejected.errors().size() + " error(s) in the configuration; nothing was changed");
			return Optional.empty();
		}
		return Optional.of(((ConfigurationValidationResult.Accepted) result).configuration());
	}

	private AdminClient createClient(CommandLine flags) throws IOException {
		String address = Optional.ofNullable(flags.getOptionValue("control-address"))
			.or(() -> Optional.ofNullable(this.environment.get(CONTROL_ADDRESS_VARIABLE)))
			.orElseThrow(() -> new IOException(
					"control address is missing: pass --control-address or set " + CONTROL_ADDRESS_VARIABLE));
		String key = Optional.ofNullable(this.environment.get(ADMIN_KEY_VARIABLE))
			.orElseThrow(() -> new IOException("admin key is missing: set " + ADMIN_KEY_VARIABLE));
		return new AdminClient(address, key);
	}

	private ExitCode reportUsageError(String message) {
		this.errorOutput.println("skylarkspring: " + message + "; see --help");
		return ExitCode.USAGE;
	}

	private static Optional<DrainDirective.TargetKind> parseTargetKind(String kind) {
		return switch (kind) {
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
				  publish FOLDER            validate all configuration files below a folder and publish them
				  config check FOLDER       validate the files without publishing them
				  config show               print the active configuration
				  list services             print the services; also pools, workspaces, data-centres
				  orders                    show the configured and the loaded model version of each server
				  status                    show the active revision of each instance, and the backend servers
				  drain data-centre NAME    stop sending new requests to a data centre
				  drain server NAME         stop sending new requests to a backend server
				  restore data-centre NAME  resume sending new requests to a data centre
				  restore server NAME       resume sending new requests to a backend server

				flags:
				  --control-address IP:PORT  control address of an entry instance,
				                             default $SKYLARKSPRING_CONTROL_ADDRESS
				  --expect REVISION          publish only if this revision is active
				  --json                     print the answer as JSON
				  -h, --help                 print this help

				The admin key is read from $SKYLARKSPRING_ADMIN_KEY.
				exit codes: 0 done, 1 refused and nothing changed, 2 usage, 3 unknown whether it took effect
				""";
	}

}
