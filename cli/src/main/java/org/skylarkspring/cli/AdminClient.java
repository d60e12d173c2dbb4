package org.skylarkspring.cli;

import java.io.IOException;
import java.util.Optional;
import java.util.concurrent.CompletionException;

import io.undertow.server.DefaultByteBufferPool;
import org.xnio.OptionMap;
import org.xnio.Options;
import org.xnio.Xnio;
import org.xnio.XnioWorker;

import org.skylarkspring.core.model.Verdict;
import org.skylarkspring.entry.api.AdminMessages;
import org.skylarkspring.entry.http.HttpCall;
import org.skylarkspring.entry.http.HttpCaller;
import org.skylarkspring.entry.http.HttpConnections;
import org.skylarkspring.entry.http.HttpFailure;
import org.skylarkspring.entry.http.HttpReply;
import org.skylarkspring.entry.http.Json;

/**
 * Client of the administration API of one entry instance.
 */
final class AdminClient implements AutoCloseable {

	private static final long TIMEOUT_MILLIS = 15_000;

	private static final int BUFFER_BYTES = 16 * 1024;

	private static final int STATUS_OK = 200;

	private final XnioWorker worker;

	private final HttpCaller caller;

	private final String address;

	private final String adminKey;

	AdminClient(String address, String adminKey) throws IOException {
		this.worker = Xnio.getInstance()
			.createWorker(
					OptionMap.builder().set(Options.WORKER_IO_THREADS, 1).set(Options.THREAD_DAEMON, true).getMap());
		this.caller = new HttpCaller(this.worker, new HttpConnections(new DefaultByteBufferPool(true, BUFFER_BYTES)));
		this.address = address;
		this.adminKey = adminKey;
	}

	HttpReply status() throws HttpFailure {
		return call(HttpCall.get(this.address, "/admin/status"));
	}

	HttpReply configured(String part) throws HttpFailure {
		return call(HttpCall.get(this.address, "/admin/" + part));
	}

	AdminMessages.OrderResult order(String path, Object message) throws HttpFailure {
		HttpReply reply = call(HttpCall.post(this.address, path, Json.write(message)));
		Optional<AdminMessages.OrderResult> result = Json.read(reply.body(), AdminMessages.OrderResult.class);
		if (reply.status() != STATUS_OK || result.isEmpty()) {
			throw new HttpFailure("status " + reply.status(), Verdict.NOT_RUN);
		}
		return result.get();
	}

	@Override
	public void close() {
		this.worker.shutdownNow();
	}

	private HttpReply call(HttpCall call) throws HttpFailure {
		try {
			HttpReply reply = this.caller.call(call.header("Authorization", "Bearer " + this.adminKey), TIMEOUT_MILLIS)
				.join();
			if (reply.status() == 401) {
				throw new HttpFailure("the admin key was refused", Verdict.NOT_RUN);
			}
			return reply;
		}
		catch (CompletionException ex) {
			if (ex.getCause() instanceof HttpFailure failure) {
				throw failure;
			}
			throw ex;
		}
	}

}
