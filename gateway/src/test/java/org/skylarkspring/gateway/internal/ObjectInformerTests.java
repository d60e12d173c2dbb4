package org.skylarkspring.gateway.internal;

import java.util.ArrayList;
import java.util.List;

import com.google.gson.JsonObject;
import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import org.skylarkspring.gateway.model.ObjectChange;
import org.skylarkspring.gateway.model.ObjectKind;
import org.skylarkspring.gateway.model.StoreResult;
import org.skylarkspring.gateway.model.StoredObject;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;
import static org.hamcrest.Matchers.is;

/**
 * Tests for {@link ObjectInformer}.
 */
class ObjectInformerTests {

	private final FakeObjectStore store = new FakeObjectStore();

	private final VirtualTimeScheduler scheduler = new VirtualTimeScheduler();

	private final List<String> events = new ArrayList<>();

	private String unusableName = "";

	private boolean failingWhenUnreachable;

	private final ObjectInformer informer = new ObjectInformer(this.store, this.scheduler, new DecisionLog(),
			ObjectKind.SERVERS, 4_000, new ObjectInformer.Listener() {

				@Override
				public void onListed(List<StoredObject> all, boolean afterOutage) {
					ObjectInformerTests.this.events.add((afterOutage ? "after outage " : "list ")
							+ String.join(",", all.stream().map(StoredObject::name).toList()));
				}

				@Override
				public void onChanged(ObjectChange change) {
					if (change.object().name().equals(ObjectInformerTests.this.unusableName)) {
						throw new NumberFormatException("unusable");
					}
					ObjectInformerTests.this.events
						.add((change.deleted() ? "removed " : "put ") + change.object().name());
				}

				@Override
				public void onStoreUnreachable() {
					if (ObjectInformerTests.this.failingWhenUnreachable) {
						throw new IllegalStateException("unreachable");
					}
				}

			});

	private static StoredObject object(String name) {
		return new StoredObject(name, 1, new JsonObject());
	}

	private static StoreResult page(long revision, boolean more, String... names) {
		return new StoreResult.Listed(List.of(names).stream().map(ObjectInformerTests::object).toList(), revision,
				more);
	}

	@Nested
	class InitialList {

		@Test
		void joinsPagesAndWatchesFromRevisionOfFirstPage() {
			ObjectInformerTests.this.informer.start();
			ObjectInformerTests.this.store.completeNextCall(page(10, true, "a", "b"));
			assertThat(ObjectInformerTests.this.store.onlyPendingCall().argument(), is("b"));
			ObjectInformerTests.this.store.completeNextCall(page(12, false, "c"));
			assertThat(ObjectInformerTests.this.events, contains("list a,b,c"));
			assertThat(ObjectInformerTests.this.store.onlyPendingCall().argument(), is("10"));
		}

	}

	@Nested
	class UnusableObjects {

		@Test
		void watchContinuesAfterAnObjectThatCannotBeApplied() {
			ObjectInformerTests.this.unusableName = "odd";
			ObjectInformerTests.this.informer.start();
			ObjectInformerTests.this.store.completeNextCall(page(10, false, "a"));
			ObjectInformerTests.this.store.completeNextCall(new StoreResult.Changed(
					List.of(new ObjectChange(object("odd"), false), new ObjectChange(object("b"), false)), 15));
			assertThat(ObjectInformerTests.this.events, contains("list a", "put b"));
			ObjectInformerTests.this.scheduler.advance(30);
			assertThat(ObjectInformerTests.this.store.onlyPendingCall().argument(), is("15"));
		}

	}

	@Nested
	class Exceptions {

		@Test
		void listsAgainAfterAnExceptionInsteadOfNoLongerFollowingTheObjects() {
			ObjectInformerTests.this.failingWhenUnreachable = true;
			ObjectInformerTests.this.informer.start();
			ObjectInformerTests.this.store.completeNextCall(page(10, false, "a"));
			ObjectInformerTests.this.store.completeNextCall(new StoreResult.Failed("reset"));
			ObjectInformerTests.this.scheduler.advance(300);
			ObjectInformerTests.this.store.completeNextCall(page(11, false, "b"));
			assertThat(ObjectInformerTests.this.events, contains("list a", "list b"));
			assertThat(ObjectInformerTests.this.store.onlyPendingCall().verb(), is("watch"));
		}

	}

	@Nested
	class Watch {

		@Test
		void nextWatchStartsFromRevisionOfLastChange() {
			ObjectInformerTests.this.informer.start();
			ObjectInformerTests.this.store.completeNextCall(page(10, false, "a"));
			ObjectInformerTests.this.store
				.completeNextCall(new StoreResult.Changed(List.of(new ObjectChange(object("a"), true)), 15));
			assertThat(ObjectInformerTests.this.events, contains("list a", "removed a"));
			assertThat(ObjectInformerTests.this.store.pendingCalls, empty());
			ObjectInformerTests.this.scheduler.advance(30);
			assertThat(ObjectInformerTests.this.store.onlyPendingCall().argument(), is("15"));
		}

		@Test
		void relistsImmediatelyWhenHistoryIsGone() {
			ObjectInformerTests.this.informer.start();
			ObjectInformerTests.this.store.completeNextCall(page(10, false, "a"));
			ObjectInformerTests.this.store.completeNextCall(new StoreResult.HistoryGone());
			assertThat(ObjectInformerTests.this.store.onlyPendingCall().verb(), is("list"));
		}

		@Test
		void relistsImmediatelyWhenWatchFails() {
			ObjectInformerTests.this.informer.start();
			ObjectInformerTests.this.store.completeNextCall(page(10, false, "a"));
			ObjectInformerTests.this.store.completeNextCall(new StoreResult.Failed("reset"));
			ObjectInformerTests.this.store.completeNextCall(page(11, false, "b"));
			assertThat(ObjectInformerTests.this.events, contains("list a", "list b"));
		}

	}

	@Nested
	class StoreOutage {

		@Test
		void reportsListAfterOutageWhenStoreRecovers() {
			ObjectInformerTests.this.informer.start();
			ObjectInformerTests.this.store.completeNextCall(page(10, false, "a"));
			ObjectInformerTests.this.store.completeNextCall(new StoreResult.Failed("silent"));
			for (int count = 0; count < 5; count++) {
				ObjectInformerTests.this.store.completeNextCall(new StoreResult.Failed("silent"));
				ObjectInformerTests.this.scheduler.advance(1_000);
			}
			ObjectInformerTests.this.store.completeNextCall(page(20, false));
			assertThat(ObjectInformerTests.this.events, contains("list a", "after outage "));
		}

	}

}
