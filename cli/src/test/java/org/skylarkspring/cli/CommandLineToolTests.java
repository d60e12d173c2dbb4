package org.skylarkspring.cli;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.PrintStream;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.Map;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.api.io.TempDir;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link CommandLineTool}.
 */
class CommandLineToolTests {

	private final ByteArrayOutputStream output = new ByteArrayOutputStream();

	private final ByteArrayOutputStream errorOutput = new ByteArrayOutputStream();

	private final CommandLineTool tool = new CommandLineTool(Map.of(), new PrintStream(this.output),
			new PrintStream(this.errorOutput));

	private String errorText() {
		return this.errorOutput.toString(StandardCharsets.UTF_8);
	}

	@Nested
	class Usage {

		@Test
		void returnsDoneAndPrintsCommandsForHelpFlag() {
			assertThat(CommandLineToolTests.this.tool.run("--help"), is(ExitCode.DONE));
			assertThat(CommandLineToolTests.this.output.toString(StandardCharsets.UTF_8),
					containsString("drain data-centre NAME"));
		}

		@Test
		void returnsUsageForUnknownCommand() {
			assertThat(CommandLineToolTests.this.tool.run("explode"), is(ExitCode.USAGE));
			assertThat(errorText(), containsString("explode"));
		}

		@Test
		void returnsUsageWhenDrainTargetKindIsUnknown() {
			assertThat(CommandLineToolTests.this.tool.run("drain", "planet", "x"), is(ExitCode.USAGE));
		}

		@Test
		void namesEnvironmentVariableWhenControlAddressIsMissing() {
			assertThat(CommandLineToolTests.this.tool.run("status"), is(ExitCode.REFUSED));
			assertThat(errorText(), containsString("SKYLARKSPRING_CONTROL_ADDRESS"));
		}

	}

	@Nested
	class ConfigCheck {

		@TempDir
		private Path folder;

		@Test
		void reportsFileLineAndPathOfInvalidSetting() throws IOException {
			Files.createDirectories(this.folder.resolve("deep"));
			Files.writeString(this.folder.resolve("deep/skylarkspring.json"), "{\n\"pools\": [{\"name\": \"p\"}]\n}");
			assertThat(CommandLineToolTests.this.tool.run("config", "check", this.folder.toString()),
					is(ExitCode.REFUSED));
			assertThat(errorText(), containsString("deep/skylarkspring.json:2 $.pools[0]"));
			assertThat(errorText(), containsString("nothing was changed"));
		}

		@Test
		void refusesFolderWithoutConfigurationFiles() {
			assertThat(CommandLineToolTests.this.tool.run("config", "check", this.folder.toString()),
					is(ExitCode.REFUSED));
		}

	}

}
