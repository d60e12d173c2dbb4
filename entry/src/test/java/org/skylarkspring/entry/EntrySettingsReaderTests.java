package org.skylarkspring.entry;

import java.util.Map;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.not;

/**
 * Tests of {@link EntrySettingsReader}.
 */
class EntrySettingsReaderTests {

	private static final Map<String, String> VALID_VARIABLES = Map.of("SKYLARKSPRING_INSTANCE_ID", "entry-1",
			"SKYLARKSPRING_DATA_CENTRE", "kigali-a", "SKYLARKSPRING_CALLER_ADDRESS", "127.0.0.1:8080",
			"SKYLARKSPRING_CONTROL_ADDRESS", "127.0.0.1:8090", "SKYLARKSPRING_PLATFORM_ADDRESS", "127.0.0.1:8070",
			"SKYLARKSPRING_PEER_KEY", "0123456789abcdef-peer", "SKYLARKSPRING_ADMIN_KEY", "0123456789abcdef-admin");

	private static SettingsResult readWithValidVariables(String... arguments) {
		return EntrySettingsReader.read(arguments, VALID_VARIABLES);
	}

	@Nested
	class WhenVariablesAreValid {

		@Test
		void flagOverridesEnvironmentVariable() {
			SettingsResult.Accepted result = (SettingsResult.Accepted) readWithValidVariables("--data-centre",
					"kigali-b");
			assertThat(result.settings().dataCentre(), is("kigali-b"));
		}

		@Test
		void settingsToStringOmitsSecrets() {
			SettingsResult.Accepted result = (SettingsResult.Accepted) readWithValidVariables();
			assertThat(result.settings().toString(), not(containsString("0123456789abcdef")));
		}

		@Test
		void helpTextListsPlatformAddressFlag() {
			assertThat(((SettingsResult.HelpRequested) readWithValidVariables("--help")).text(),
					containsString("--platform-address"));
		}

	}

	@Nested
	class WhenSettingsAreInvalid {

		@Test
		void reportsAllInvalidSettingsAtOnce() {
			SettingsResult.Rejected result = (SettingsResult.Rejected) EntrySettingsReader
				.read(new String[] { "--io-threads", "many" }, Map.of());
			assertThat(result.errors(), hasSize(8));
		}

		@Test
		void rejectsUnknownFlag() {
			assertThat(readWithValidVariables("--speed", "9"), instanceOf(SettingsResult.Rejected.class));
		}

		@Test
		void rejectsHostNameAsPeerAddress() {
			SettingsResult.Rejected result = (SettingsResult.Rejected) readWithValidVariables("--peers",
					"peer.example:80");
			assertThat(result.errors().get(0), containsString("peer.example:80"));
		}

	}

}
