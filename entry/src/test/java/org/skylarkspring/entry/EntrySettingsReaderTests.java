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

	private static final Map<String, String> SOUND = Map.of("SKYLARKSPRING_INSTANCE_ID", "entry-1",
			"SKYLARKSPRING_DATA_CENTRE", "kigali-a", "SKYLARKSPRING_CALLER_ADDRESS", "127.0.0.1:8080",
			"SKYLARKSPRING_CONTROL_ADDRESS", "127.0.0.1:8090", "SKYLARKSPRING_PLATFORM_ADDRESS", "127.0.0.1:8070",
			"SKYLARKSPRING_PEER_KEY", "0123456789abcdef-peer", "SKYLARKSPRING_ADMIN_KEY", "0123456789abcdef-admin");

	private static SettingsResult read(String... arguments) {
		return EntrySettingsReader.read(arguments, SOUND);
	}

	@Nested
	class Sound {

		@Test
		void flagsWinOverVariables() {
			SettingsResult.Accepted result = (SettingsResult.Accepted) read("--data-centre", "kigali-b");
			assertThat(result.settings().dataCentre(), is("kigali-b"));
		}

		@Test
		void secretsAreNotPrinted() {
			SettingsResult.Accepted result = (SettingsResult.Accepted) read();
			assertThat(result.settings().toString(), not(containsString("0123456789abcdef")));
		}

		@Test
		void helpNamesEveryFlag() {
			assertThat(((SettingsResult.Help) read("--help")).text(), containsString("--platform-address"));
		}

	}

	@Nested
	class Faults {

		@Test
		void areListedAllAtOnce() {
			SettingsResult.Rejected result = (SettingsResult.Rejected) EntrySettingsReader
				.read(new String[] { "--io-threads", "many" }, Map.of());
			assertThat(result.faults(), hasSize(8));
		}

		@Test
		void nameUnknownFlags() {
			assertThat(read("--speed", "9"), instanceOf(SettingsResult.Rejected.class));
		}

		@Test
		void refuseHostNames() {
			SettingsResult.Rejected result = (SettingsResult.Rejected) read("--peers", "peer.example:80");
			assertThat(result.faults().get(0), containsString("peer.example:80"));
		}

	}

}
