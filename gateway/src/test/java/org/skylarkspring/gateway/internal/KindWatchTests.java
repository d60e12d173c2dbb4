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
 * Tests for {@link KindWatch}.
 */
class KindWatchTests {

	private final FakeObjectStore store = new FakeObjectStore();

	private final VirtualTime time = new VirtualTime();

	private final List<String> heard = new ArrayList<>();

	private final KindWatch watch = new KindWatch(this.store, this.time, new DecisionLog(), ObjectKind.SERVERS, 4_000,
			new KindWatch.Listener() {

				@Override
				public void listed(List<StoredObject> all, boolean afterOutage) {
					KindWatchTests.this.heard.add((afterOutage ? "after outage " : "list ")
							+ String.join(",", all.stream().map(StoredObject::name).toList()));
				}

				@Override
				public void changed(ObjectChange change) {
					KindWatchTests.this.heard.add((change.deleted() ? "removed " : "put ") + change.object().name());
				}

			});

	private static StoredObject object(String name) {
		return new StoredObject(name, 1, new JsonObject());
	}

	private static StoreResult page(long revision, boolean more, String... names) {
		return new StoreResult.Listed(List.of(names).stream().map(KindWatchTests::object).toList(), revision, more);
	}

	@Nested
	class Listing {

		@Test
		void joinsPagesAndWatchesFromTheFirst() {
			KindWatchTests.this.watch.start();
			KindWatchTests.this.store.answer(page(10, true, "a", "b"));
			assertThat(KindWatchTests.this.store.only().argument(), is("b"));
			KindWatchTests.this.store.answer(page(12, false, "c"));
			assertThat(KindWatchTests.this.heard, contains("list a,b,c"));
			assertThat(KindWatchTests.this.store.only().argument(), is("10"));
		}

	}

	@Nested
	class Watching {

		@Test
		void goesOnFromTheRevisionOfTheAnswer() {
			KindWatchTests.this.watch.start();
			KindWatchTests.this.store.answer(page(10, false, "a"));
			KindWatchTests.this.store.answer(new StoreResult.Changed(List.of(new ObjectChange(object("a"), true)), 15));
			assertThat(KindWatchTests.this.heard, contains("list a", "removed a"));
			assertThat(KindWatchTests.this.store.pending, empty());
			KindWatchTests.this.time.pass(30);
			assertThat(KindWatchTests.this.store.only().argument(), is("15"));
		}

		@Test
		void listsAgainAtOnceWhenHistoryIsGone() {
			KindWatchTests.this.watch.start();
			KindWatchTests.this.store.answer(page(10, false, "a"));
			KindWatchTests.this.store.answer(new StoreResult.HistoryGone());
			assertThat(KindWatchTests.this.store.only().verb(), is("list"));
		}

		@Test
		void listsAgainAtOnceWhenAWatchIsCut() {
			KindWatchTests.this.watch.start();
			KindWatchTests.this.store.answer(page(10, false, "a"));
			KindWatchTests.this.store.answer(new StoreResult.Failed("reset"));
			KindWatchTests.this.store.answer(page(11, false, "b"));
			assertThat(KindWatchTests.this.heard, contains("list a", "list b"));
		}

	}

	@Nested
	class Outages {

		@Test
		void saysThatEntriesMayHaveLapsed() {
			KindWatchTests.this.watch.start();
			KindWatchTests.this.store.answer(page(10, false, "a"));
			KindWatchTests.this.store.answer(new StoreResult.Failed("silent"));
			for (int count = 0; count < 5; count++) {
				KindWatchTests.this.store.answer(new StoreResult.Failed("silent"));
				KindWatchTests.this.time.pass(1_000);
			}
			KindWatchTests.this.store.answer(page(20, false));
			assertThat(KindWatchTests.this.heard, contains("list a", "after outage "));
		}

	}

}
