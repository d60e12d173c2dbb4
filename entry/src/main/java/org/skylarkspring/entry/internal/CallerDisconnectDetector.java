package org.skylarkspring.entry.internal;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;

/**
 * Tells an open request when a caller closes its connection.
 */
final class CallerDisconnectDetector {

	private static final AttachmentKey<CurrentRequest> CURRENT_REQUEST = AttachmentKey.create(CurrentRequest.class);

	private final RequestRegistry requestRegistry;

	CallerDisconnectDetector(RequestRegistry requestRegistry) {
		this.requestRegistry = requestRegistry;
	}

	void trackRequest(HttpServerExchange exchange, long requestId) {
		ServerConnection connection = exchange.getConnection();
		CurrentRequest open = connection.getAttachment(CURRENT_REQUEST);
		if (open == null) {
			open = new CurrentRequest();
			connection.putAttachment(CURRENT_REQUEST, open);
			CurrentRequest watched = open;
			connection.addCloseListener((closed) -> onConnectionClosed(watched));
		}
		open.requestId = requestId;
	}

	private void onConnectionClosed(CurrentRequest open) {
		this.requestRegistry.runOnIoThread(open.requestId, CallerRequest::onDisconnect);
	}

	private static final class CurrentRequest {

		private volatile long requestId;

	}

}
