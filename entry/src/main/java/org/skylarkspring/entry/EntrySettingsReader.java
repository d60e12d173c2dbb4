package org.skylarkspring.entry;

import java.io.PrintWriter;
import java.io.StringWriter;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.Optional;
import java.util.stream.Stream;

import org.apache.commons.cli.CommandLine;
import org.apache.commons.cli.DefaultParser;
import org.apache.commons.cli.Option;
import org.apache.commons.cli.Options;
import org.apache.commons.cli.ParseException;

/**
 * Reads {@link EntrySettings} from command-line flags and environment variables. A flag
 * overrides the environment variable of the same setting; for example,
 * {@code --data-centre} overrides {@code SKYLARKSPRING_DATA_CENTRE}. Secrets are read
 * from environment variables only and are never printed.
 */
public final class EntrySettingsReader {

	private static final String VARIABLE_PREFIX = "SKYLARKSPRING_";

	private static final String ADDRESS_PATTERN = "(\\d{1,3}(\\.\\d{1,3}){3}|\\[[0-9a-fA-F:]+\\]):\\d{1,5}";

	private static final int MINIMUM_SECRET_CHARACTERS = 16;

	private static final Options OPTIONS = createOptions();

	private final CommandLine flags;

	private final Map<String, String> environment;

	private final List<String> errors = new ArrayList<>();

	private EntrySettingsReader(CommandLine flags, Map<String, String> environment) {
		this.flags = flags;
		this.environment = environment;
	}

	/**
	 * Reads and validates the settings.
	 * @param arguments command-line flags
	 * @param environment environment variables
	 * @return the settings, the errors found in them, or the help text
	 */
	public static SettingsResult read(String[] arguments, Map<String, String> environment) {
		try {
			CommandLine flags = new DefaultParser().parse(OPTIONS, arguments);
			if (flags.hasOption("help")) {
				return new SettingsResult.HelpRequested(formatHelp());
			}
			return new EntrySettingsReader(flags, environment).read();
		}
		catch (ParseException ex) {
			return new SettingsResult.Rejected(List.of(ex.getMessage() + "; see --help"));
		}
	}

	private SettingsResult read() {
		this.flags.getArgList().forEach((argument) -> this.errors.add("unexpected argument '" + argument + "'"));
		EntrySettings settings = new EntrySettings(readName("instance-id"), readName("data-centre"),
				readAddress("caller-address"), readAddress("control-address"), readAddress("platform-address"),
				readPeers(), readSecret("PEER_KEY"), readSecret("ADMIN_KEY"), readLogFormat(),
				readInteger("maximum-open-requests", 4_096, 1, 1_000_000),
				readInteger("maximum-connections", 8_192, 1, 1_000_000),
				readInteger("body-timeout-millis", 10_000, 100, 3_600_000), readInteger("io-threads", 2, 1, 64));
		if (this.errors.isEmpty()) {
			return new SettingsResult.Accepted(settings);
		}
		return new SettingsResult.Rejected(List.copyOf(this.errors));
	}

	private Optional<String> findValue(String flag) {
		String variable = VARIABLE_PREFIX + flag.toUpperCase(Locale.ROOT).replace('-', '_');
		return Optional.ofNullable(this.flags.getOptionValue(flag))
			.or(() -> Optional.ofNullable(this.environment.get(variable)));
	}

	private String readName(String flag) {
		return readRequired(flag, "[a-z0-9][a-z0-9-]{0,62}", "1 to 63 lower-case letters, digits and hyphens");
	}

	private String readAddress(String flag) {
		return readRequired(flag, ADDRESS_PATTERN, "an IP address and a port, such as 127.0.0.1:8080");
	}

	private String readRequired(String flag, String pattern, String expected) {
		String value = findValue(flag).orElse("");
		if (!value.matches(pattern)) {
			this.errors.add("--" + flag + " must be " + expected + ", found '" + value + "'");
		}
		return value;
	}

	private List<String> readPeers() {
		List<String> peers = findValue("peers").stream()
			.flatMap((text) -> Stream.of(text.split(",")))
			.filter((peer) -> !peer.isBlank())
			.toList();
		peers.stream()
			.filter((peer) -> !peer.matches(ADDRESS_PATTERN))
			.forEach((peer) -> this.errors
				.add("--peers contains '" + peer + "', which is not an IP address and a port"));
		return peers;
	}

	private String readSecret(String name) {
		String value = this.environment.getOrDefault(VARIABLE_PREFIX + name, "");
		if (value.length() < MINIMUM_SECRET_CHARACTERS) {
			this.errors.add("environment variable " + VARIABLE_PREFIX + name + " must have at least "
					+ MINIMUM_SECRET_CHARACTERS + " characters");
		}
		return value;
	}

	private String readLogFormat() {
		String format = findValue("log-format").orElse("text").toUpperCase(Locale.ROOT);
		if (!List.of("TEXT", "JSON").contains(format)) {
			this.errors.add("--log-format must be text or json, found '" + format + "'");
		}
		return format;
	}

	private int readInteger(String flag, int defaultValue, int minimum, int maximum) {
		String text = findValue(flag).orElse(String.valueOf(defaultValue));
		try {
			int number = Integer.parseInt(text);
			if (number >= minimum && number <= maximum) {
				return number;
			}
		}
		catch (NumberFormatException ex) {
			// Falls through to the same error as a number out of range.
		}
		this.errors
			.add("--" + flag + " must be a whole number from " + minimum + " to " + maximum + ", found '" + text + "'");
		return defaultValue;
	}

	private static Options createOptions() {
		Options options = new Options();
		options.addOption(createOption("instance-id", "NAME", "unique name of this instance (required)"));
		options.addOption(createOption("data-centre", "NAME", "data centre of this instance (required)"));
		options.addOption(createOption("caller-address", "IP:PORT", "IP address and port for callers (required)"));
		options.addOption(
				createOption("control-address", "IP:PORT", "IP address and port for peers and operators (required)"));
		options.addOption(createOption("platform-address", "IP:PORT",
				"IP address and port of the platform's object API (required)"));
		options.addOption(createOption("peers", "IP:PORT,...", "control addresses of the initial peers"));
		options.addOption(createOption("log-format", "FORMAT", "text or json, default text"));
		options.addOption(
				createOption("maximum-open-requests", "N", "maximum number of concurrent requests, default 4096"));
		options.addOption(createOption("maximum-connections", "N",
				"maximum number of concurrent caller connections, default 8192"));
		options.addOption(createOption("body-timeout-millis", "N",
				"timeout in milliseconds for receiving a request body, default 10000"));
		options.addOption(createOption("io-threads", "N", "number of I/O threads, default 2"));
		options.addOption(Option.builder("h").longOpt("help").desc("print this help").get());
		return options;
	}

	private static Option createOption(String name, String argument, String description) {
		return Option.builder().longOpt(name).hasArg().argName(argument).desc(description).get();
	}

	private static String formatHelp() {
		StringWriter text = new StringWriter();
		PrintWriter writer = new PrintWriter(text);
		writer.println("usage: skylarkspring-entry [flags]");
		OPTIONS.getOptions()
			.forEach((option) -> writer.printf("  --%-24s %-12s %s%n", option.getLongOpt(),
					Optional.ofNullable(option.getArgName()).orElse(""), option.getDescription()));
		writer.println(
				"Each flag can be set as an environment variable, such as SKYLARKSPRING_DATA_CENTRE for --data-centre.");
		writer.println(
				"Only as environment variables: SKYLARKSPRING_PEER_KEY, SKYLARKSPRING_ADMIN_KEY (at least 16 characters).");
		return text.toString();
	}

}
