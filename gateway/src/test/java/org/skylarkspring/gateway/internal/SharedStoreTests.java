package org.skylarkspring.gateway.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Optional;
import java.util.function.Consumer;

import com.google.gson.JsonObject;
import org.junit.jupiter.api.BeforeEach;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.skylarkspring.gateway.model.ObjectChange;
import org.skylarkspring.gateway.model.ObjectKind;
import org.skylarkspring.gateway.model.StoreResult;
import org.skylarkspring.gateway.model.StoredObject;
import org.skylarkspring.gateway.policy.Member;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.both;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.hasSize;
import static org.hamcrest.Matchers.instanceOf;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThanOrEqualTo;

/**
 * Plays an instance that reads the store through a relay: tests of {@link SharedStore},
 * {@link StoreRelay} and {@link KindCopy} together, in virtual time.
 */
class SharedStoreTests {

	private static final long REVOCATION_MILLIS = 5_000;

	private final VirtualTime time = new VirtualTime();

	private final DecisionLog log = new DecisionLog();

	/** The store as the relay reaches it. */
	private final FakeObjectStore storeOfRelay = new FakeObjectStore();

	/** The store as the instance reaches it that is no relay. */
	private final FakeObjectStore storeOfOther = new FakeObjectStore();

	private final ConfigurationFeed feedOfRelay = new ConfigurationFeed(this.storeOfRelay::read,
			this.storeOfRelay::read, new VersionDecoder(), this.time, this.log, REVOCATION_MILLIS);

	private final List<PeerLoad> toldToRelay = new ArrayList<>();

	private final StoreRelay relay = new StoreRelay("i0", this.time, this.log, this.feedOfRelay, this.toldToRelay::add);

	private final PeerTable peers = new PeerTable(new Member("other", "dc", 0.05), 5);

	private final SharedStore shared = new SharedStore(this.storeOfOther, this::ask, this.time, this.log, this.peers,
			() -> new PeerLoad("other", false, List.of(), List.of()));

	private final ConfigurationFeed feed = new ConfigurationFeed(this.shared::read, this.shared::readDirectly,
			new VersionDecoder(), this.time, this.log, REVOCATION_MILLIS);

	private final List<StoreResult> results = new ArrayList<>();

	private String relayAddress;

	private boolean relayReached = true;

	@BeforeEach
	void startRelay() {
		for (int index = 0; index < 14; index++) {
			this.peers.put(new Member("i" + index, "dc", (index < 2) ? 2 : 0.1), "10.0.0." + index + ":7200");
		}
		this.relayAddress = this.peers.ownRelay(this.time.nowMillis()).orElseThrow().address;
		this.feedOfRelay.start();
		this.storeOfRelay.answer(version(7));
	}

	// A call that does not reach the relay ends with its time.
	private void ask(String address, RelayedCall call, long timeoutMillis, Consumer<Optional<RelayedAnswer>> answer) {
		boolean[] answered = { false };
		Consumer<Optional<RelayedAnswer>> once = (received) -> {
			if (!answered[0]) {
				answered[0] = true;
				answer.accept(received);
			}
		};
		this.time.after(timeoutMillis, () -> once.accept(Optional.empty()));
		if (address.equals(this.relayAddress) && this.relayReached) {
			this.relay.answer(call, (received) -> {
				if (this.relayReached) {
					once.accept(Optional.of(received));
				}
			});
		}
	}

	private static StoreResult version(long version) {
		JsonObject content = new JsonObject();
		content.addProperty("version", version);
		return new StoreResult.Listed(List.of(new StoredObject("main", version, content)), version, false);
	}

	private static StoredObject server(String name) {
		return new StoredObject(name, 1, new JsonObject());
	}

	private KindWatch.Listener copy() {
		return this.relay.copy(ObjectKind.SERVERS).before(new KindWatch.Listener() {

			@Override
			public void listed(List<StoredObject> all, boolean afterOutage) {
			}

			@Override
			public void changed(ObjectChange change) {
			}

		});
	}

	@Nested
	class Configurations {

		@Test
		void comeFromTheRelayWithoutACallToTheStore() {
			SharedStoreTests.this.feed.start();
			assertThat(SharedStoreTests.this.feed.table().orElseThrow().version(), is(7L));
			assertThat(SharedStoreTests.this.storeOfOther.pending, empty());
		}

		@Test
		void areAskedForOnceASecondWithTheLoadOfTheInstance() {
			SharedStoreTests.this.feed.start();
			for (int second = 0; second < 10; second++) {
				SharedStoreTests.this.time.pass(1_000);
				SharedStoreTests.this.storeOfRelay.answer(version(7));
			}
			assertThat(SharedStoreTests.this.toldToRelay.size(),
					both(greaterThanOrEqualTo(9)).and(lessThanOrEqualTo(11)));
		}

		@Test
		void keepTheAgeTheyHaveAtTheRelay() {
			SharedStoreTests.this.time.pass(900);
			SharedStoreTests.this.feed.start();
			assertThat(SharedStoreTests.this.feed.ageMillis(), is(900L));
		}

		@Test
		void areInForceAsSoonAsTheRelayHasReadThem() {
			SharedStoreTests.this.feed.start();
			SharedStoreTests.this.time.pass(1_000);
			SharedStoreTests.this.storeOfRelay.answer(version(8));
			SharedStoreTests.this.time.pass(10);
			assertThat(SharedStoreTests.this.feed.table().orElseThrow().version(), is(8L));
			assertThat(SharedStoreTests.this.storeOfOther.pending, empty());
		}

		@Test
		void comeFromTheStoreWhenTheRelayIsSilent() {
			SharedStoreTests.this.feed.start();
			SharedStoreTests.this.relayReached = false;
			SharedStoreTests.this.time.pass(2_800);
			SharedStoreTests.this.storeOfOther.answer(version(8));
			assertThat(SharedStoreTests.this.feed.table().orElseThrow().version(), is(8L));
		}

		@Test
		void comeFromTheStoreWhenTheRelayHasLostIt() {
			SharedStoreTests.this.feed.start();
			SharedStoreTests.this.time.pass(1_000);
			for (int attempt = 0; attempt < 5; attempt++) {
				SharedStoreTests.this.storeOfRelay.answer(new StoreResult.Failed("down"));
				SharedStoreTests.this.time.pass(300);
			}
			assertThat(SharedStoreTests.this.storeOfOther.pending, hasSize(1));
		}

		@Test
		void ofARelayThatWasSuspendedAreNotUsed() {
			SharedStoreTests.this.time.suspend(6_000);
			SharedStoreTests.this.feed.start();
			assertThat(SharedStoreTests.this.feed.table().isEmpty(), is(true));
			assertThat(SharedStoreTests.this.storeOfOther.pending, hasSize(1));
		}

		@Test
		void neverGoBackToWhatTheRelayKnewBefore() {
			SharedStoreTests.this.feed.start();
			SharedStoreTests.this.feed.afterNextCheck(() -> {
			});
			SharedStoreTests.this.storeOfOther.answer(version(8));
			SharedStoreTests.this.time.pass(1_000);
			SharedStoreTests.this.storeOfRelay.answer(version(7));
			assertThat(SharedStoreTests.this.feed.table().orElseThrow().version(), is(8L));
			assertThat(SharedStoreTests.this.feed.fresh(), is(true));
			assertThat(SharedStoreTests.this.storeOfOther.pending, hasSize(1));
		}

	}

	@Nested
	class Watches {

		@BeforeEach
		void list() {
			copy().listed(List.of(server("s1")), false);
			SharedStoreTests.this.shared.list(ObjectKind.SERVERS, "", SharedStoreTests.this.results::add);
		}

		private StoreResult last() {
			return SharedStoreTests.this.results.get(SharedStoreTests.this.results.size() - 1);
		}

		private void watch() {
			long revision = ((StoreResult.Listed) last()).revision();
			SharedStoreTests.this.shared.watch(ObjectKind.SERVERS, revision, 4_000, SharedStoreTests.this.results::add);
		}

		@Test
		void tellChangesThatComeTogetherSoonAndAtOnce() {
			watch();
			copy().changed(new ObjectChange(server("s2"), false));
			copy().changed(new ObjectChange(server("s3"), false));
			SharedStoreTests.this.time.pass(30);
			assertThat(((StoreResult.Changed) last()).changes(), hasSize(2));
			assertThat(SharedStoreTests.this.storeOfOther.pending, empty());
		}

		@Test
		void tellWhatChangedInBetween() {
			copy().changed(new ObjectChange(server("s2"), false));
			copy().changed(new ObjectChange(server("s1"), true));
			watch();
			assertThat(((StoreResult.Changed) last()).changes(), hasSize(2));
		}

		@Test
		void listAnewFromTheStoreOnceTheRelayHasLostIt() {
			watch();
			copy().lost();
			assertThat(last(), instanceOf(StoreResult.HistoryGone.class));
		}

		@Test
		void areGivenUpTogetherWhenTheRelayIsSilent() {
			SharedStoreTests.this.feed.start();
			watch();
			SharedStoreTests.this.relayReached = false;
			SharedStoreTests.this.time.pass(2_800);
			assertThat(last(), instanceOf(StoreResult.HistoryGone.class));
		}

		@Test
		void endWithoutNewsWhenTheirTimeIsUp() {
			watch();
			SharedStoreTests.this.time.pass(4_000);
			assertThat(((StoreResult.Changed) last()).changes(), empty());
		}

	}

}
