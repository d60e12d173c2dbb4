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
 * Tests of {@link ConfigurationChecker}.
 */
class ConfigurationCheckerTests {

	private static final String DIGEST = "a".repeat(64);

	private static final String SOUND = """
			{
			  "dataCentres": [{"name": "kigali-a", "region": "kigali"}],
			  "pools": [{"name": "inyigisho", "dataCentres": ["kigali-a"], "warmupMillis": 60000}],
			  "services": [{"name": "inyigisho", "pool": "inyigisho"}],
			  "workspaces": [{"name": "plans", "keyDigest": "%s", "services": ["inyigisho"]}]
			}
			""".formatted(DIGEST);

	private static ConfigurationResult check(String... texts) {
		List<ConfigurationFile> files = IntStream.range(0, texts.length)
			.mapToObj((index) -> new ConfigurationFile("file" + index, texts[index]))
			.toList();
		return new ConfigurationChecker().check(files);
	}

	private static String faults(String... texts) {
		ConfigurationResult result = check(texts);
		assertThat(result, instanceOf(ConfigurationResult.Rejected.class));
		return ((ConfigurationResult.Rejected) result).faults()
			.stream()
			.map(ConfigurationFault::toString)
			.collect(Collectors.joining("\n"));
	}

	@Test
	void acceptsSoundFile() {
		assertThat(check(SOUND), instanceOf(ConfigurationResult.Accepted.class));
	}

	@Nested
	class Faults {

		@Test
		void nameLineAndUnitOfUnknownField() {
			String faults = faults(SOUND.replace("\"warmupMillis\": 60000", "\"warmupSeconds\": 60"));
			assertThat(faults, containsString("file0:3 $.pools[0].warmupSeconds"));
			assertThat(faults, containsString("the field is 'warmupMillis'"));
		}

		@Test
		void nameDuplicateAndItsFirstFile() {
			assertThat(faults(SOUND, "{\"pools\": [{\"name\": \"inyigisho\", \"dataCentres\": [\"kigali-a\"]}]}"),
					containsString("file1:1 $.pools[0]: 'inyigisho' is defined twice"));
		}

		@Test
		void nameDanglingReference() {
			assertThat(faults(SOUND.replace("\"pool\": \"inyigisho\"", "\"pool\": \"elsewhere\"")),
					containsString("'elsewhere' is not defined in 'pools'"));
		}

		@Test
		void nameValueWithUnit() {
			assertThat(faults(SOUND.replace("60000", "\"60s\"")), containsString("without a unit"));
		}

		@Test
		void nameLineOfBrokenSyntax() {
			assertThat(faults("{\n  \"pools\": [,]\n}"), containsString("file0:2"));
		}

		@Test
		void nameSizeAboveTheLimit() {
			String workspaces = IntStream.range(0, 9_000)
				.mapToObj((number) -> "{\"name\": \"w%d\", \"keyDigest\": \"%064x\", \"services\": [\"inyigisho\"]}"
					.formatted(number, number))
				.collect(Collectors.joining(","));
			assertThat(faults(SOUND, "{\"workspaces\": [" + workspaces + "]}"), containsString("(all files):0"));
		}

		@Test
		void areAllReportedAtOnce() {
			String broken = SOUND.replace("\"region\": \"kigali\"", "\"region\": \"Kigali!\"")
				.replace(DIGEST, "secret-key");
			ConfigurationResult result = check(broken);
			assertThat(((ConfigurationResult.Rejected) result).faults().size(), is(2));
		}

	}

}
