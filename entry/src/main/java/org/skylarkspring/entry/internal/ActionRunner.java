package org.skylarkspring.entry.internal;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.skylarkspring.core.action.Action;
import org.skylarkspring.core.action.ActionHandler;
import org.skylarkspring.entry.http.HttpCall;
import org.skylarkspring.entry.http.HttpCaller;

/**
 * Carries out the core's actions.
 */
final class ActionRunner implements ActionHandler {

	private static final Logger logger = LoggerFactory.getLogger("skylarkspring.state");

	private static final long ORDER_TIMEOUT_MILLIS = 2_000;

	private final RequestRegistry registry;

	private final StoreGateway store;

	private final HttpCaller caller;

	private final Runnable stopped;

	ActionRunner(RequestRegistry registry, StoreGateway store, HttpCaller caller, Runnable stopped) {
		this.registry = registry;
		this.store = store;
		this.caller = caller;
		this.stopped = stopped;
	}

	@Override
	public void dispatch(Action.Dispatch action) {
		this.registry.attempt(action.attemptId(), action.requestId());
		this.registry.run(action.requestId(), (request) -> request.dispatch(action));
	}

	@Override
	public void cancelAttempt(Action.CancelAttempt action) {
		this.registry.runForAttempt(action.attemptId(), (request) -> request.cancel(action.attemptId()));
	}

	@Override
	public void finishRequest(Action.FinishRequest action) {
		this.registry.run(action.requestId(), (request) -> request.finish(action.outcome()));
	}

	@Override
	public void storeWrite(Action.StoreWrite action) {
		this.store.write(action);
	}

	@Override
	public void storeRead(Action.StoreRead action) {
		this.store.read(action);
	}

	@Override
	public void loadModel(Action.LoadModel action) {
		String path = "/orders?fencingNumber=" + action.fencingNumber() + "&modelVersion=" + action.modelVersion();
		this.caller.call(HttpCall.post(action.address(), path, ""), ORDER_TIMEOUT_MILLIS)
			.whenComplete((reply, failure) -> logger.info("server {}: ordered version {}, {}", action.serverId(),
					action.modelVersion(), (reply != null) ? "status " + reply.status() : failure.getMessage()));
	}

	@Override
	public void stateChanged(Action.StateChanged action) {
		logger.info("{}: {}", action.subject(), action.change());
	}

	@Override
	public void shutdownComplete(Action.ShutdownComplete action) {
		this.stopped.run();
	}

}
