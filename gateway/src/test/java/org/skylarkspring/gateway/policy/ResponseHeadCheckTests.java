package org.skylarkspring.gateway.policy;

import java.util.Optional;
import java.util.OptionalLong;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.ValueSource;

import org.skylarkspring.gateway.model.NamedRateLimit;
import org.skylarkspring.gateway.model.ResponseHead;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link ResponseHeadCheck}.
 */
class ResponseHeadCheckTests {

	private static ResponseHeadCheck check(int status, Optional<String> id, boolean notExecuted) {
		ResponseHead head = new ResponseHead(id, notExecuted, true, Optional.empty(), false, OptionalLong.empty(),
				new NamedRateLimit.None());
		return new ResponseHeadCheck(status, head, "own");
	}

	private static void assertRefusal(int status, boolean notExecuted) {
		ResponseHeadCheck check = check(status, Optional.of("own"), notExecuted);
		assertThat(check.isRefusal(), is(true));
		assertThat(check.describeFault(), is(Optional.empty()));
	}

	private static void assertFault(ResponseHeadCheck check, String part) {
		assertThat(check.isRefusal(), is(false));
		assertThat(check.describeFault().orElse(""), containsString(part));
	}

	@Nested
	class Refusals {

		@ParameterizedTest
		@ValueSource(ints = { 400, 421, 429, 503 })
		void refusalWithIdOfRequestIsBelieved(int status) {
			assertRefusal(status, true);
		}

		@Test
		void otherServerAtTheAddressRefusesByItsStatusAlone() {
			assertRefusal(421, false);
		}

		@ParameterizedTest
		@ValueSource(ints = { 400, 421, 429, 503 })
		void refusalWithoutIdOrWithAnotherIsNotBelieved(int status) {
			assertFault(check(status, Optional.empty(), true), "id missing");
			assertFault(check(status, Optional.of("other"), true), "id of another request");
		}

	}

	@Nested
	class OtherResponses {

		@ParameterizedTest
		@ValueSource(ints = { 200, 204, 304, 400, 404, 500, 504 })
		void responseThatPromisesNothingHasNoFault(int status) {
			assertThat(check(status, Optional.of("own"), false).describeFault(), is(Optional.empty()));
			assertThat(check(status, Optional.empty(), false).describeFault(), is(Optional.empty()));
			assertThat(check(status, Optional.of("own"), false).isRefusal(), is(false));
		}

		@Test
		void responseWithIdOfAnotherRequestIsFault() {
			assertFault(check(200, Optional.of("other"), false), "id of another request");
			assertThat(check(200, Optional.of("other"), false).mayBelongToRequest(), is(false));
		}

		@ParameterizedTest
		@ValueSource(ints = { 408, 429, 503 })
		void promiseToCallersWithoutStatementOfServerIsFault(int status) {
			assertFault(check(status, Optional.of("own"), false), "status " + status + " without the statement");
		}

		@Test
		void successThatClaimsRequestWasNotExecutedIsFault() {
			assertFault(check(200, Optional.of("own"), true), "status 200 claims");
		}

		@ParameterizedTest
		@ValueSource(ints = { 101, 102, 103 })
		void interimResponseIsFault(int status) {
			assertFault(check(status, Optional.of("own"), true), "interim status " + status);
		}

	}

}
