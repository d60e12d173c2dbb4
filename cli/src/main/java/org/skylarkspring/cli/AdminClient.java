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
import org.skylarkspring.entry.http.AsyncHttpClient;
import org.skylarkspring.entry.http.HttpClientException;
import org.skylarkspring.entry.http.HttpClientRequest;
import org.skylarkspring.entry.http.HttpClientResponse;
import org.skylarkspring.entry.http.HttpConnectionPool;
import org.skylarkspring.entry.http.Json;

/**
 * Client of the administration API of one entry instance.
 */
final class AdminClient implements AutoCloseable {

	private static final long TIMEOUT_MILLIS = 15_000;

	private static final int BUFFER_BYTES = 16 * 1024;

	private static final int STATUS_OK = 200;

	private final XnioWorker worker;

	private final AsyncHttpClient httpClient;

	private final String address;

	private final String adminKey;

	AdminClient(String address, String adminKey) throws IOException {
		this.worker = Xnio.getInstance()
			.createWorker(
					OptionMap.builder().set(Options.WORKER_IO_THREADS, 1).set(Options.THREAD_DAEMON, true).getMap());
		this.httpClient = new AsyncHttpClient(this.worker,
				new HttpConnectionPool(new DefaultByteBufferPool(true, BUFFER_BYTES)));
		this.address = address;
		this.adminKey = adminKey;
	}

	HttpClientResponse fetchStatus() throws HttpClientException {
		return call(HttpClientRequest.get(this.address, "/admin/status"));
	}

	HttpClientResponse fetchConfiguration(String resource) throws HttpClientException {
		return call(HttpClientRequest.get(this.address, "/admin/" + resource));
	}

	AdminMessages.CommandResult postCommand(String path, Object body) throws HttpClientException {
		HttpClientResponse response = call(HttpClientRequest.post(this.address, path, Json.write(body)));
		Optional<AdminMessages.CommandResult> result = Json.read(response.body(), AdminMessages.CommandResult.class);
		if (response.status() != STATUS_OK || result.isEmpty()) {
			throw new HttpClientException("unexpected response from the instance: HTTP status " + response.status(),
					Verdict.NOT_RUN);
		}
		return result.get();
	}

	@Override
	public void close() {
		this.worker.shutdownNow();
	}

	private HttpClientResponse call(HttpClientRequest request) throws HttpClientException {
		try {
			HttpClientResponse response = this.httpClient
				.send(request.withHeader("Authorization", "Bearer " + this.adminKey), TIMEOUT_MILLIS)
				.join();
			if (response.status() == 401) {
				throw new HttpClientException("admin key rejected: HTTP status 401", Verdict.NOT_RUN);
			}
			return response;
		}
		catch (CompletionException ex) {
			if (ex.getCause() instanceof HttpClientException failure) {
				throw failure;
			}
			throw ex;
		}
	}

}
