package org.skylarkspring.gateway.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.function.Consumer;

import org.skylarkspring.gateway.model.ObjectKind;
import org.skylarkspring.gateway.model.StoreResult;
import org.skylarkspring.gateway.model.StoreRevision;
import org.skylarkspring.gateway.port.ObjectStore;

/**
 * Object store that records calls until the test completes them one by one.
 */
final class FakeObjectStore implements ObjectStore {

	final List<PendingCall> pendingCalls = new ArrayList<>();

	@Override
	public void read(ObjectKind kind, String name, Consumer<StoreResult> result) {
		this.pendingCalls.add(new PendingCall("read", kind, name, result));
	}

	@Override
	public void list(ObjectKind kind, String afterName, Consumer<StoreResult> result) {
		this.pendingCalls.add(new PendingCall("list", kind, afterName, result));
	}

	@Override
	public void watch(ObjectKind kind, StoreRevision revision, long waitMillis, Consumer<StoreResult> result) {
		this.pendingCalls.add(new PendingCall("watch", kind, String.valueOf(revision.number()), result));
	}

	@Override
	public void write(ObjectKind kind, String name, String content, Consumer<StoreResult> result) {
		this.pendingCalls.add(new PendingCall("write", kind, name, result));
	}

	@Override
	public void writeStatus(ObjectKind kind, String name, StoreRevision revision, String content,
			Consumer<StoreResult> result) {
		this.pendingCalls.add(new PendingCall("writeStatus", kind, name, result));
	}

	@Override
	public void remove(ObjectKind kind, String name, Consumer<StoreResult> result) {
		this.pendingCalls.add(new PendingCall("remove", kind, name, result));
	}

	PendingCall onlyPendingCall() {
		if (this.pendingCalls.size() != 1) {
			throw new IllegalStateException("expected exactly one pending call but got " + this.pendingCalls);
		}
		return this.pendingCalls.get(0);
	}

	void completeNextCall(StoreResult result) {
		PendingCall call = this.pendingCalls.remove(0);
		call.callback().accept(result);
	}

	record PendingCall(String verb, ObjectKind kind, String argument, Consumer<StoreResult> callback) {

		@Override
		public String toString() {
			return this.verb + " " + this.kind + " " + this.argument;
		}

	}

}
