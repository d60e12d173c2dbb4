package org.skylarkspring.gateway.internal;

import java.io.IOException;
import java.io.UncheckedIOException;
import java.net.Socket;
import java.net.SocketTimeoutException;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.OptionalInt;
import java.util.OptionalLong;
import java.util.Set;
import java.util.concurrent.CompletableFuture;
import java.util.function.BooleanSupplier;

import com.google.gson.JsonObject;
import io.undertow.server.HttpServerExchange;
import io.undertow.util.HeaderMap;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.skylarkspring.gateway.admission.WorkspaceDemand;
import org.skylarkspring.gateway.model.CallerLimits;
import org.skylarkspring.gateway.model.EngineSpec;
import org.skylarkspring.gateway.model.GenerationSize;
import org.skylarkspring.gateway.model.RequestHead;
import org.skylarkspring.gateway.model.RequestSemantics;
import org.skylarkspring.gateway.model.RouteSpec;
import org.skylarkspring.gateway.model.RoutingTable;
import org.skylarkspring.gateway.model.ServerRegistration;
import org.skylarkspring.gateway.model.ServiceSpec;
import org.skylarkspring.gateway.model.StoreResult;
import org.skylarkspring.gateway.model.StoredObject;
import org.skylarkspring.gateway.model.WeightedService;
import org.skylarkspring.gateway.peer.PeerDigest;
import org.skylarkspring.gateway.port.ObjectDecoder;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.containsString;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.startsWith;

/**
 * Tests that requests wait for room, and that nothing remains of those that end before.
 */
class RequestAdmissionTests extends ServerDispatcherTestBase {

	private static final int SLOTS = 6;

	private static final long CAPACITY_TOKENS = 1_000;

	private static final int LONG_TARGET_MILLIS = DEADLINE_MILLIS - 1;

	private static final int SHORT_TARGET_MILLIS = 2_999;

	private static final int AWAIT_MILLIS = 2_000;

	private static final int HELD_MILLIS = 200;

	private RequestAdmission admission;

	private ConfigurationPoller routes;

	private final FakeObjectStore routeStore = new FakeObjectStore();

	private volatile RequestSemantics semantics = RequestSemantics.AT_MOST_ONCE;

	private volatile Optional<String> workspace = Optional.empty();

	private volatile int targetMillis = LONG_TARGET_MILLIS;

	private volatile boolean engine = true;

	@BeforeEach
	void createAdmission() {
		onIoThread(() -> {
			this.routes = new ConfigurationPoller(this.routeStore::read, this.routeStore::read, new RouteDecoder(),
					this.context.scheduler, this.context.log, DEADLINE_MILLIS);
			this.routes.start();
			this.admission = new RequestAdmission(this.context, this.routes, this.selector, this.registry,
					this.dispatcher, this.peers);
			this.dispatcher.setFirstDispatch(this.admission::start);
			this.registry.setEndListener(this.admission::onRequestEnded);
			this.registry.setRetryAfterSource(this.admission::retryAfterMillis);
		});
		applyTargetLatency(LONG_TARGET_MILLIS);
	}

	private void applyTargetLatency(int millis) {
		this.targetMillis = millis;
		onIoThread(() -> {
			if (this.routeStore.pendingCalls.isEmpty()) {
				this.routes.runAfterStoreCheck(() -> {
				});
			}
			JsonObject content = new JsonObject();
			content.addProperty("version", LONG_TARGET_MILLIS + 1 - millis);
			this.routeStore.completeNextCall(new StoreResult.Listed(
					List.of(new StoredObject("main", LONG_TARGET_MILLIS + 1 - millis, content)), 1, false));
		});
	}

	private void onIoThread(Runnable task) {
		CompletableFuture.runAsync(task, this.context.ioThread).join();
	}

	private boolean holdsOnIoThread(BooleanSupplier condition) {
		return CompletableFuture.supplyAsync(condition::getAsBoolean, this.context.ioThread).join();
	}

	private void await(BooleanSupplier condition) throws InterruptedException {
		long endMillis = System.currentTimeMillis() + AWAIT_MILLIS;
		while (!holdsOnIoThread(condition)) {
			assertThat("time is left", System.currentTimeMillis() < endMillis);
			Thread.sleep(5);
		}
	}

	private void fillServer() {
		onIoThread(() -> {
			this.entry.peerRunningRequests = SLOTS;
			this.entry.peerReservedTokens = CAPACITY_TOKENS;
		});
	}

	private void emptyServer() {
		onIoThread(() -> {
			this.entry.peerRunningRequests = 0;
			this.entry.peerReservedTokens = 0;
		});
	}

	private RouteSpec route() {
		return new RouteSpec("r", "a", "/", this.semantics, DEADLINE_MILLIS, this.targetMillis, 0, 0,
				List.of(new WeightedService("s", 1)), 2, true);
	}

	private ServiceSpec service() {
		return new ServiceSpec("s", 0,
				this.engine ? Optional.of(new EngineSpec(SLOTS, CAPACITY_TOKENS, false, false)) : Optional.empty());
	}

	@Override
	void start(HttpServerExchange exchange) {
		RequestHead head = new RequestHead("id", OptionalLong.empty(), this.workspace.map((name) -> "key"),
				Optional.of(new GenerationSize(300, 100, OptionalInt.of(100))), List.of());
		this.dispatcher.start(new ActiveRequest(exchange, head, route(), service(), this.workspace, 0, new byte[0],
				new ForwardedHead("/", new HeaderMap()), this.context.scheduler.nowMillis()));
	}

	private CompletableFuture<String> sendInBackground() {
		return CompletableFuture.supplyAsync(() -> {
			try {
				return sendRequest();
			}
			catch (IOException ex) {
				throw new UncheckedIOException(ex);
			}
		}, (task) -> new Thread(task, "caller").start());
	}

	private CompletableFuture<String> sendAndAwaitWaiting() throws InterruptedException {
		CompletableFuture<String> response = sendInBackground();
		await(() -> this.admission.waitingCount() == 1);
		return response;
	}

	private Socket acceptRequest() throws IOException {
		this.backend.setSoTimeout(AWAIT_MILLIS);
		Socket connection = this.backend.accept();
		connection.setSoTimeout(AWAIT_MILLIS);
		assertThat("first byte of the request", connection.getInputStream().read(), is((int) 'G'));
		return connection;
	}

	private boolean isConnected(int withinMillis) throws IOException {
		this.backend.setSoTimeout(withinMillis);
		try (Socket connection = this.backend.accept()) {
			return true;
		}
		catch (SocketTimeoutException ex) {
			return false;
		}
	}

	private void assertNothingRemains() throws IOException {
		onIoThread(() -> {
			assertThat("waiting", this.admission.waitingCount(), is(0));
			assertThat("running", this.admission.runningCount(), is(0));
			assertThat("timer", this.admission.isScheduled(), is(false));
			assertThat("digest", this.admission.ownDigest(this.context.scheduler.nowMillis()).isEmpty(), is(true));
			assertThat(this.registry.requests(), is(empty()));
			assertThat(this.entry.attempts, is(empty()));
			assertThat(this.entry.reservedTokens, is(0L));
		});
		assertThat("connected", isConnected(HELD_MILLIS), is(false));
	}

	@Nested
	class Waiting {

		@Test
		void waitingRequestIsDispatchedWhenRoomAppears() throws Exception {
			fillServer();
			CompletableFuture<String> response = sendAndAwaitWaiting();
			assertThat("connected without room", isConnected(HELD_MILLIS), is(false));
			emptyServer();
			acceptRequest().close();
			response.join();
			onIoThread(() -> assertThat(RequestAdmissionTests.this.admission.isScheduled(), is(false)));
		}

		@Test
		void requestDoesNotWaitWhileServerHasRoom() throws Exception {
			CompletableFuture<String> response = sendInBackground();
			acceptRequest().close();
			response.join();
		}

		@Test
		void requestIsDispatchedToFullServerWhenItCannotWaitAnyLonger() throws Exception {
			fillServer();
			RequestAdmissionTests.this.targetMillis = 400;
			CompletableFuture<String> response = sendInBackground();
			acceptRequest().close();
			response.join();
		}

		// Guards against memory that stays reserved on a server for ever.
		@Test
		void correctedReservationIsReleasedCompletely() throws Exception {
			CompletableFuture<String> response = sendInBackground();
			Socket connection = acceptRequest();
			onIoThread(() -> {
				ServerEntry server = RequestAdmissionTests.this.entry;
				assertThat(server.reservedTokens, is(400L));
				server.attempts.forEach((attempt) -> attempt.changeReservation(700));
				assertThat(server.reservedTokens, is(700L));
			});
			connection.close();
			response.join();
			onIoThread(() -> {
				assertThat(RequestAdmissionTests.this.entry.reservedTokens, is(0L));
				assertThat(RequestAdmissionTests.this.admission.runningCount(), is(0));
			});
		}

		@Test
		void retryIsNotHeldByFullServer() throws Exception {
			RequestAdmissionTests.this.semantics = RequestSemantics.IDEMPOTENT;
			CompletableFuture<String> response = sendInBackground();
			Socket first = acceptRequest();
			fillServer();
			first.close();
			acceptRequest().close();
			response.join();
		}

	}

	@Nested
	class Ends {

		@Test
		void requestThatCannotBeServedBeforeItsDeadlineIsRefusedAtOnce() throws Exception {
			fillServer();
			onIoThread(() -> {
				RequestAdmissionTests.this.entry.peerReservedTokens = Integer.MAX_VALUE;
				RequestAdmissionTests.this.admission
					.onPeerDigest(
							new PeerDigest(null, null,
									List.of(new WorkspaceDemand("s", "r", "w", Integer.MAX_VALUE, 0, 0, 100, 100, 0,
											0)),
									null),
							RequestAdmissionTests.this.context.scheduler.nowMillis() - 1_000);
			});
			String response = sendRequest();
			assertThat(response, startsWith("HTTP/1.1 503"));
			assertThat(response, containsString("Retry-After"));
			assertNothingRemains();
		}

		@Test
		void requestIsDroppedWhenItsCallerLeaves() throws Exception {
			fillServer();
			try (Socket caller = openCaller()) {
				await(() -> RequestAdmissionTests.this.admission.waitingCount() == 1);
			}
			await(() -> RequestAdmissionTests.this.admission.waitingCount() == 0);
			assertNothingRemains();
		}

		@Test
		void requestIsRefusedWhenTheInstanceShutsDown() throws Exception {
			fillServer();
			CompletableFuture<String> response = sendAndAwaitWaiting();
			onIoThread(() -> RequestAdmissionTests.this.admission.setStartCondition((request) -> false));
			assertThat(response.join(), startsWith("HTTP/1.1 503"));
			assertNothingRemains();
		}

		@Test
		void requestIsRefusedAtTheEndOfTheGracePeriod() throws Exception {
			fillServer();
			CompletableFuture<String> response = sendAndAwaitWaiting();
			onIoThread(() -> RequestAdmissionTests.this.registry.endAll("grace period of the shutdown is over"));
			assertThat(response.join(), startsWith("HTTP/1.1 503"));
			assertNothingRemains();
		}

		@Test
		void requestIsRefusedWhenItsKeyIsRevoked() throws Exception {
			fillServer();
			RequestAdmissionTests.this.workspace = Optional.of("w");
			assertThat(sendInBackground().join(), startsWith("HTTP/1.1 503"));
			assertNothingRemains();
		}

		@Test
		void requestEndsAtItsDeadlineOnce() throws Exception {
			fillServer();
			CompletableFuture<String> response = sendAndAwaitWaiting();
			onIoThread(() -> List.copyOf(RequestAdmissionTests.this.registry.requests())
				.forEach(RequestAdmissionTests.this.registry::onDeadlineExceeded));
			assertThat(response.join(), startsWith("HTTP/1.1 504"));
			assertNothingRemains();
		}

		@Test
		void requestIsNotHeldForServersOfEvacuatedDataCentre() throws Exception {
			fillServer();
			CompletableFuture<String> response = sendAndAwaitWaiting();
			onIoThread(() -> RequestAdmissionTests.this.selector.setEvacuatedDataCentres(Set.of("dc-1")));
			assertThat(response.join(), startsWith("HTTP/1.1 503"));
			onIoThread(() -> RequestAdmissionTests.this.selector.setEvacuatedDataCentres(Set.of()));
			onIoThread(() -> assertThat(RequestAdmissionTests.this.registry.requests(), is(empty())));
			assertThat("connected", isConnected(HELD_MILLIS), is(false));
		}

		@Test
		void requestIsDispatchedWhenTheConfigurationLeavesNoTimeToWait() throws Exception {
			fillServer();
			CompletableFuture<String> response = sendAndAwaitWaiting();
			applyTargetLatency(SHORT_TARGET_MILLIS);
			acceptRequest().close();
			response.join();
		}

	}

	@Nested
	class OtherServices {

		// Guards against any change where the target latency leaves no time to wait.
		@Test
		void requestToServiceWithShortTargetLatenciesGoesToFullServerAtOnce() throws Exception {
			applyTargetLatency(SHORT_TARGET_MILLIS);
			assertDispatchedAtOnce();
		}

		@Test
		void requestToPlainServiceGoesToFullServerAtOnce() throws Exception {
			RequestAdmissionTests.this.engine = false;
			applyTargetLatency(LONG_TARGET_MILLIS - 1);
			assertDispatchedAtOnce();
		}

		private void assertDispatchedAtOnce() throws Exception {
			fillServer();
			CompletableFuture<String> response = sendInBackground();
			try (Socket connection = acceptRequest()) {
				onIoThread(() -> {
					assertThat(RequestAdmissionTests.this.admission.runningCount(), is(0));
					assertThat(RequestAdmissionTests.this.admission
						.ownDigest(RequestAdmissionTests.this.context.scheduler.nowMillis())
						.isEmpty(), is(true));
				});
			}
			response.join();
		}

	}

	private final class RouteDecoder implements ObjectDecoder {

		@Override
		public Optional<RoutingTable> decodeRoutingTable(StoredObject object) {
			return Optional.of(new RoutingTable(object.content().get("version").getAsLong(), List.of(route()),
					Map.of("s", service()), Map.of(), false, new CallerLimits(1, 1, 1, 1)));
		}

		@Override
		public Optional<ServerRegistration> decodeServerRegistration(StoredObject object) {
			return Optional.empty();
		}

	}

}
