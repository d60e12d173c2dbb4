package org.skylarkspring.gateway.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.skylarkspring.gateway.model.ObjectKind;
import org.skylarkspring.gateway.model.StoreResult;
import org.skylarkspring.gateway.port.ObjectStore;

/**
 * Store whose answers a test gives one by one.
 */
final class FakeObjectStore implements ObjectStore {

	final List<Pending> pending = new ArrayList<>();

	@Override
	public void read(ObjectKind kind, String name, Consumer<StoreResult> result) {
		this.pending.add(new Pending("read", kind, name, result));
	}

	@Override
	public void list(ObjectKind kind, String after, Consumer<StoreResult> result) {
		this.pending.add(new Pending("list", kind, after, result));
	}

	@Override
	public void watch(ObjectKind kind, long revision, long waitMillis, Consumer<StoreResult> result) {
		this.pending.add(new Pending("watch", kind, String.valueOf(revision), result));
	}

	@Override
	public void write(ObjectKind kind, String name, String content, Consumer<StoreResult> result) {
		this.pending.add(new Pending("write", kind, name, result));
	}

	@Override
	public void remove(ObjectKind kind, String name, Consumer<StoreResult> result) {
		this.pending.add(new Pending("remove", kind, name, result));
	}

	Pending only() {
		if (this.pending.size() != 1) {
			throw new IllegalStateException("expected one call but there are " + this.pending);
		}
		return this.pending.get(0);
	}

	void answer(StoreResult result) {
		Pending call = this.pending.remove(0);
		call.result().accept(result);
	}

	record Pending(String verb, ObjectKind kind, String argument, Consumer<StoreResult> result) {

		@Override
		public String toString() {
			return this.verb + " " + this.kind + " " + this.argument;
		}

	}

}
