package org.skylarkspring.entry.internal;

import io.undertow.server.HttpServerExchange;
import io.undertow.server.ServerConnection;
import io.undertow.util.AttachmentKey;

/**
 * Tells an open request when a caller closes its connection.
 */
final class CallerConnections {

	private static final AttachmentKey<OpenRequest> OPEN_REQUEST = AttachmentKey.create(OpenRequest.class);

	private final RequestRegistry registry;

	CallerConnections(RequestRegistry registry) {
		this.registry = registry;
	}

	void watch(HttpServerExchange exchange, long requestId) {
		ServerConnection connection = exchange.getConnection();
		OpenRequest open = connection.getAttachment(OPEN_REQUEST);
		if (open == null) {
			open = new OpenRequest();
			connection.putAttachment(OPEN_REQUEST, open);
			OpenRequest watched = open;
			connection.addCloseListener((closed) -> closed(watched));
		}
		open.requestId = requestId;
	}

	private void closed(OpenRequest open) {
		this.registry.run(open.requestId, CallerRequest::disconnected);
	}

	private static final class OpenRequest {

		private volatile long requestId;

	}

}
