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

	private final ByteArrayOutputStream errors = new ByteArrayOutputStream();

	private final CommandLineTool tool = new CommandLineTool(Map.of(), new PrintStream(this.output),
			new PrintStream(this.errors));

	private String errors() {
		return this.errors.toString(StandardCharsets.UTF_8);
	}

	@Nested
	class Usage {

		@Test
		void helpIsDone() {
			assertThat(CommandLineToolTests.this.tool.run("--help"), is(ExitCode.DONE));
			assertThat(CommandLineToolTests.this.output.toString(StandardCharsets.UTF_8),
					containsString("drain data-centre NAME"));
		}

		@Test
		void unknownCommandIsAUsageFault() {
			assertThat(CommandLineToolTests.this.tool.run("explode"), is(ExitCode.USAGE));
			assertThat(errors(), containsString("explode"));
		}

		@Test
		void drainNeedsATarget() {
			assertThat(CommandLineToolTests.this.tool.run("drain", "planet", "x"), is(ExitCode.USAGE));
		}

		@Test
		void missingAddressIsNamed() {
			assertThat(CommandLineToolTests.this.tool.run("status"), is(ExitCode.REFUSED));
			assertThat(errors(), containsString("SKYLARKSPRING_CONTROL_ADDRESS"));
		}

	}

	@Nested
	class Check {

		@TempDir
		private Path folder;

		@Test
		void namesFileLineAndMend() throws IOException {
			Files.createDirectories(this.folder.resolve("deep"));
			Files.writeString(this.folder.resolve("deep/skylarkspring.json"), "{\n\"pools\": [{\"name\": \"p\"}]\n}");
			assertThat(CommandLineToolTests.this.tool.run("config", "check", this.folder.toString()),
					is(ExitCode.REFUSED));
			assertThat(errors(), containsString("deep/skylarkspring.json:2 $.pools[0]"));
			assertThat(errors(), containsString("nothing was changed"));
		}

		@Test
		void refusesAnEmptyFolder() {
			assertThat(CommandLineToolTests.this.tool.run("config", "check", this.folder.toString()),
					is(ExitCode.REFUSED));
		}

	}

}
