package org.skylarkspring.entry.internal;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;

/**
 * Notifies the open request of a connection when the caller closes the connection.
 */
final class CallerDisconnectDetector {

	private static final AttachmentKey<CurrentRequest> CURRENT_REQUEST = AttachmentKey.create(CurrentRequest.class);

	private final RequestRegistry requestRegistry;

	CallerDisconnectDetector(RequestRegistry requestRegistry) {
		this.requestRegistry = requestRegistry;
	}

	void trackRequest(HttpServerExchange exchange, long requestId) {
		ServerConnection connection = exchange.getConnection();
		CurrentRequest currentRequest = connection.getAttachment(CURRENT_REQUEST);
		if (currentRequest == null) {
			currentRequest = new CurrentRequest();
			connection.putAttachment(CURRENT_REQUEST, currentRequest);
			CurrentRequest trackedRequest = currentRequest;
			connection.addCloseListener((closed) -> onConnectionClosed(trackedRequest));
		}
		currentRequest.requestId = requestId;
	}

	private void onConnectionClosed(CurrentRequest currentRequest) {
		this.requestRegistry.runOnIoThread(currentRequest.requestId, CallerRequest::onDisconnect);
	}

	private static final class CurrentRequest {

		private volatile long requestId;

	}

}
