package org.skylarkspring.core.config;

import java.util.List;
import java.util.stream.Collectors;
import java.util.stream.IntStream;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;

/**
 * Tests of {@link ConfigurationValidator}.
 */
class ConfigurationValidatorTests {

	private static final String KEY_DIGEST = "a".repeat(64);

	private static final String VALID_CONFIGURATION = """
			{
			  "dataCentres": [{"name": "kigali-a", "region": "kigali"}],
			  "pools": [{"name": "inyigisho", "dataCentres": ["kigali-a"], "warmupMillis": 60000}],
			  "services": [{"name": "inyigisho", "pool": "inyigisho"}],
			  "workspaces": [{"name": "plans", "keyDigest": "%s", "services": ["inyigisho"]}]
			}
			""".formatted(KEY_DIGEST);

	private static ConfigurationValidationResult validate(String... texts) {
		List<ConfigurationFile> files = IntStream.range(0, texts.length)
			.mapToObj((index) -> new ConfigurationFile("file" + index, texts[index]))
			.toList();
		return new ConfigurationValidator().validate(files);
	}

	private static String validationErrors(String... texts) {
		ConfigurationValidationResult result = validate(texts);
		assertThat(result, instanceOf(ConfigurationValidationResult.Rejected.class));
		return ((ConfigurationValidationResult.Rejected) result).errors()
			.stream()
			.map(ConfigurationError::toString)
			.collect(Collectors.joining("\n"));
	}

	@Test
	void acceptsValidConfiguration() {
		assertThat(validate(VALID_CONFIGURATION), instanceOf(ConfigurationValidationResult.Accepted.class));
	}

	@Nested
	class WhenConfigurationIsInvalid {

		@Test
		void reportsLineAndExpectedUnitOfUnknownField() {
			String errors = validationErrors(
					VALID_CONFIGURATION.replace("\"warmupMillis\": 60000", "\"warmupSeconds\": 60"));
			assertThat(errors, containsString("file0:3 $.pools[0].warmupSeconds"));
			assertThat(errors, containsString("the field is 'warmupMillis'"));
		}

		@Test
		void reportsFileAndLineOfDuplicateEntry() {
			assertThat(
					validationErrors(VALID_CONFIGURATION,
							"{\"pools\": [{\"name\": \"inyigisho\", \"dataCentres\": [\"kigali-a\"]}]}"),
					containsString("file1:1 $.pools[0]: 'inyigisho' is defined twice"));
		}

		@Test
		void reportsReferenceToUndefinedPool() {
			assertThat(
					validationErrors(VALID_CONFIGURATION.replace("\"pool\": \"inyigisho\"", "\"pool\": \"elsewhere\"")),
					containsString("'elsewhere' is not defined in 'pools'"));
		}

		@Test
		void reportsNumberWrittenWithUnit() {
			assertThat(validationErrors(VALID_CONFIGURATION.replace("60000", "\"60s\"")),
					containsString("without a unit"));
		}

		@Test
		void reportsLineOfMalformedJson() {
			assertThat(validationErrors("{\n  \"pools\": [,]\n}"), containsString("file0:2"));
		}

		@Test
		void reportsConfigurationAboveSizeLimit() {
			String workspaces = IntStream.range(0, 9_000)
				.mapToObj((number) -> "{\"name\": \"w%d\", \"keyDigest\": \"%064x\", \"services\": [\"inyigisho\"]}"
					.formatted(number, number))
				.collect(Collectors.joining(","));
			assertThat(validationErrors(VALID_CONFIGURATION, "{\"workspaces\": [" + workspaces + "]}"),
					containsString("(all files):0"));
		}

		@Test
		void reportsAllErrorsInOnePass() {
			String invalid = VALID_CONFIGURATION.replace("\"region\": \"kigali\"", "\"region\": \"Kigali!\"")
				.replace(KEY_DIGEST, "secret-key");
			ConfigurationValidationResult result = validate(invalid);
			assertThat(((ConfigurationValidationResult.Rejected) result).errors().size(), is(2));
		}

	}

}
