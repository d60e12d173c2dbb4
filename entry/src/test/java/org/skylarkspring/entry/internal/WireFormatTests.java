package org.skylarkspring.entry.internal;

import java.io.IOException;
import java.io.InputStream;
import java.nio.charset.StandardCharsets;
import java.util.Arrays;
import java.util.List;
import java.util.Objects;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.skylarkspring.core.config.Configuration;
import org.skylarkspring.core.model.ErrorCode;
import org.skylarkspring.core.model.InstanceRecord;
import org.skylarkspring.core.model.Outcome;
import org.skylarkspring.core.model.StoredObject;
import org.skylarkspring.core.model.Verdict;
import org.skylarkspring.entry.api.AdminMessages;
import org.skylarkspring.entry.api.EngineMessages;
import org.skylarkspring.entry.http.Json;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests of the JSON format of stored objects and of the messages that entry instances
 * exchange with each other, with engines, callers and administration tools. The files in
 * the resource directory {@code wire-format} were written by an earlier version. Gson
 * uses the names of record components and enum constants as JSON names and values, so
 * renaming one of them breaks a rolling update and makes stored objects unreadable:
 * unknown names are ignored and unknown constants are read as {@code null}. A file must
 * only change together with a compatible migration.
 */
class WireFormatTests {

	private static String readFile(String name) throws IOException {
		String path = "wire-format/" + name + ".json";
		try (InputStream stream = Objects.requireNonNull(WireFormatTests.class.getResourceAsStream(path), path)) {
			return new String(stream.readAllBytes(), StandardCharsets.UTF_8);
		}
	}

	private static void assertReadAndWrittenUnchanged(String name, Class<?> type) throws IOException {
		String json = readFile(name);
		assertThat(name, Json.write(Json.read(json, type).orElseThrow()), is(json));
	}

	@Nested
	class PeerMessagesOfEarlierVersion {

		@Test
		void gossipDigestIsReadAndWrittenUnchanged() throws IOException {
			assertReadAndWrittenUnchanged("gossip-digest", PeerMessages.GossipDigest.class);
		}

		@Test
		void instanceListIsReadAndWrittenUnchanged() throws IOException {
			assertReadAndWrittenUnchanged("instance-list", PeerMessages.InstanceList.class);
		}

		@Test
		void shardRequestIsReadAndWrittenUnchanged() throws IOException {
			assertReadAndWrittenUnchanged("shard-request", PeerMessages.ShardRequest.class);
		}

		@Test
		void shardResponseIsReadAndWrittenUnchanged() throws IOException {
			assertReadAndWrittenUnchanged("shard-response", PeerMessages.ShardResponse.class);
		}

	}

	@Nested
	class StoredObjectsOfEarlierVersion {

		@Test
		void configurationManifestIsReadAndWrittenUnchanged() throws IOException {
			assertReadAndWrittenUnchanged("configuration-manifest", ConfigurationManifest.class);
		}

		@Test
		void configurationShardIsReadAndWrittenUnchanged() throws IOException {
			assertReadAndWrittenUnchanged("configuration-shard", ConfigurationShard.class);
		}

		@Test
		void drainDirectiveListIsReadAndWrittenUnchanged() throws IOException {
			assertReadAndWrittenUnchanged("drain-directive-list", PlatformSync.DrainDirectiveList.class);
		}

		@Test
		void instanceRecordsAreReadAndWrittenUnchanged() throws IOException {
			assertReadAndWrittenUnchanged("instance-records", InstanceRecord[].class);
		}

		@Test
		void startedIdempotencyRecordIsReadAndWrittenUnchanged() throws IOException {
			assertReadAndWrittenUnchanged("idempotency-record-started", StoredObject.IdempotencyRecord.class);
		}

		@Test
		void releasedIdempotencyRecordIsReadAndWrittenUnchanged() throws IOException {
			assertReadAndWrittenUnchanged("idempotency-record-released", StoredObject.IdempotencyRecord.class);
		}

		@Test
		void finishedIdempotencyRecordIsReadAndWrittenUnchanged() throws IOException {
			assertReadAndWrittenUnchanged("idempotency-record-finished", StoredObject.IdempotencyRecord.class);
		}

		@Test
		void leaseIsReadAndWrittenUnchanged() throws IOException {
			assertReadAndWrittenUnchanged("lease", StoredObject.Lease.class);
		}

	}

	@Nested
	class AdminMessagesOfEarlierVersion {

		@Test
		void configurationIsReadAndWrittenUnchanged() throws IOException {
			assertReadAndWrittenUnchanged("configuration", Configuration.class);
		}

		@Test
		void publishRequestIsReadAndWrittenUnchanged() throws IOException {
			assertReadAndWrittenUnchanged("publish-request", AdminMessages.PublishRequest.class);
		}

		@Test
		void commandResultIsReadAndWrittenUnchanged() throws IOException {
			assertReadAndWrittenUnchanged("command-result", AdminMessages.CommandResult.class);
		}

		@Test
		void drainRequestForDataCentreIsReadAndWrittenUnchanged() throws IOException {
			assertReadAndWrittenUnchanged("drain-request-data-centre", AdminMessages.DrainRequest.class);
		}

		@Test
		void drainRequestForServerIsReadAndWrittenUnchanged() throws IOException {
			assertReadAndWrittenUnchanged("drain-request-server", AdminMessages.DrainRequest.class);
		}

		@Test
		void statusResponseIsReadAndWrittenUnchanged() throws IOException {
			assertReadAndWrittenUnchanged("status-response", AdminMessages.StatusResponse.class);
		}

	}

	@Nested
	class EngineMessagesOfEarlierVersion {

		@Test
		void generateRequestIsReadAndWrittenUnchanged() throws IOException {
			assertReadAndWrittenUnchanged("generate-request", EngineMessages.GenerateRequest.class);
		}

		@Test
		void tokenEventIsReadAndWrittenUnchanged() throws IOException {
			assertReadAndWrittenUnchanged("token-event", EngineMessages.TokenEvent.class);
		}

		@Test
		void loadResponseIsReadAndWrittenUnchanged() throws IOException {
			assertReadAndWrittenUnchanged("load-response", EngineMessages.LoadResponse.class);
		}

	}

	@Nested
	class CallerMessagesOfEarlierVersion {

		@Test
		void completionRequestIsReadAndWrittenUnchanged() throws IOException {
			assertReadAndWrittenUnchanged("completion-request", CompletionRequest.class);
		}

		@Test
		void partialCompletionResponseIsReadAndWrittenUnchanged() throws IOException {
			assertReadAndWrittenUnchanged("completion-response-partial", CompletionResponse.class);
		}

		@Test
		void completeCompletionResponseIsReadAndWrittenUnchanged() throws IOException {
			assertReadAndWrittenUnchanged("completion-response-complete", CompletionResponse.class);
		}

		@Test
		void problemDetailsAreReadAndWrittenUnchanged() throws IOException {
			assertReadAndWrittenUnchanged("problem-details", ProblemDetails[].class);
		}

		@Test
		void problemDetailsOfEveryErrorCodeAreCreatedWithTheSameText() throws IOException {
			List<ProblemDetails> problems = Arrays.stream(ErrorCode.values()).map(this::createProblem).toList();
			assertThat(Json.write(problems), is(readFile("problem-details")));
		}

		private ProblemDetails createProblem(ErrorCode errorCode) {
			int index = errorCode.ordinal();
			Verdict[] verdicts = Verdict.values();
			return ProblemDetails.of(new Outcome.Failed(errorCode, verdicts[index % verdicts.length], 10 + index,
					5_000_000_000L + index));
		}

	}

}
