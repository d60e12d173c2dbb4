package org.skylarkspring.entry.internal;

import org.slf4j.Logger;
import org.slf4j.LoggerFactory;

import org.skylarkspring.core.action.Action;
import org.skylarkspring.core.action.ActionHandler;
import org.skylarkspring.entry.http.AsyncHttpClient;
import org.skylarkspring.entry.http.HttpClientRequest;

/**
 * Executes the actions that the decision core emits: dispatches and cancels attempts,
 * finishes requests, accesses the store and requests model loads.
 */
final class ActionExecutor implements ActionHandler {

	private static final Logger logger = LoggerFactory.getLogger("skylarkspring.state");

	private static final long LOAD_MODEL_TIMEOUT_MILLIS = 2_000;

	private final RequestRegistry requestRegistry;

	private final StoreActionExecutor storeActionExecutor;

	private final AsyncHttpClient httpClient;

	private final Runnable onShutdownComplete;

	ActionExecutor(RequestRegistry requestRegistry, StoreActionExecutor storeActionExecutor, AsyncHttpClient httpClient,
			Runnable onShutdownComplete) {
		this.requestRegistry = requestRegistry;
		this.storeActionExecutor = storeActionExecutor;
		this.httpClient = httpClient;
		this.onShutdownComplete = onShutdownComplete;
	}

	@Override
	public void dispatch(Action.Dispatch action) {
		this.requestRegistry.addAttempt(action.attemptId(), action.requestId());
		this.requestRegistry.runOnIoThread(action.requestId(), (request) -> request.dispatch(action));
	}

	@Override
	public void cancelAttempt(Action.CancelAttempt action) {
		this.requestRegistry.runOnIoThreadForAttempt(action.attemptId(),
				(request) -> request.cancelAttempt(action.attemptId()));
	}

	@Override
	public void finishRequest(Action.FinishRequest action) {
		this.requestRegistry.runOnIoThread(action.requestId(), (request) -> request.finish(action.outcome()));
	}

	@Override
	public void storeWrite(Action.StoreWrite action) {
		this.storeActionExecutor.write(action);
	}

	@Override
	public void storeRead(Action.StoreRead action) {
		this.storeActionExecutor.read(action);
	}

	@Override
	public void loadModel(Action.LoadModel action) {
		String path = "/orders?fencingNumber=" + action.fencingNumber() + "&modelVersion=" + action.modelVersion();
		this.httpClient.send(HttpClientRequest.post(action.address(), path, ""), LOAD_MODEL_TIMEOUT_MILLIS)
			.whenComplete((response, failure) -> logger.info("server {}: requested load of model version {}, {}",
					action.serverId(), action.modelVersion(),
					(response != null) ? "status " + response.status() : failure.getMessage()));
	}

	@Override
	public void stateChanged(Action.StateChanged action) {
		logger.info("{}: {}", action.subject(), action.change());
	}

	@Override
	public void shutdownComplete(Action.ShutdownComplete action) {
		this.onShutdownComplete.run();
	}

}
