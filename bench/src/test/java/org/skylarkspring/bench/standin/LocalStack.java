package org.skylarkspring.bench.standin;

import java.io.ByteArrayOutputStream;
import java.io.IOException;
import java.io.OutputStream;
import java.io.PrintStream;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.nio.charset.StandardCharsets;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.concurrent.CompletionException;
import java.util.function.BooleanSupplier;
import java.util.function.UnaryOperator;

import io.undertow.Undertow;

import org.skylarkspring.bench.load.CallerClient;
import org.skylarkspring.bench.model.EngineProfile;
import org.skylarkspring.cli.CommandLineTool;
import org.skylarkspring.cli.ExitCode;
import org.skylarkspring.core.model.InstanceRecord;
import org.skylarkspring.core.model.InstanceRole;
import org.skylarkspring.core.model.InstanceState;
import org.skylarkspring.entry.EntryInstance;
import org.skylarkspring.entry.EntrySettings;
import org.skylarkspring.entry.http.HttpClientRequest;
import org.skylarkspring.entry.http.Json;

/**
 * Runs one entry instance and the stand-ins for one engine, one plain service and the
 * object API in the test process, on loopback addresses.
 */
final class LocalStack implements AutoCloseable {

	static final String ADMIN_KEY = "test-admin-key-000001";

	static final String PEER_KEY = "test-peer-key-0000001";

	static final int MAXIMUM_CONNECTIONS = 100;

	private static final long START_TIMEOUT_MILLIS = 60_000;

	private static final long POLL_INTERVAL_MILLIS = 20;

	final CallerClient client = new CallerClient();

	final String callerAddress = findFreeAddress();

	final String controlAddress = findFreeAddress();

	final String engineAddress = findFreeAddress();

	private final List<Undertow> standIns = new ArrayList<>();

	LocalStack(Path folder, long bodyTimeoutMillis) throws IOException {
		this(folder, bodyTimeoutMillis, UnaryOperator.identity());
	}

	/**
	 * Starts the entry instance and the stand-ins.
	 * @param folder folder for the configuration
	 * @param bodyTimeoutMillis timeout for the bodies of callers, in milliseconds
	 * @param backendAddress returns the address under which a backend is listed, given
	 * the address that it listens on
	 * @throws IOException if the configuration cannot be written
	 */
	LocalStack(Path folder, long bodyTimeoutMillis, UnaryOperator<String> backendAddress) throws IOException {
		String platformAddress = findFreeAddress();
		String plainAddress = findFreeAddress();
		this.standIns.add(ObjectApiStandIn.start(platformAddress));
		this.standIns.add(EngineStandIn.start("engine-1", this.engineAddress, EngineProfile.standard(), true, true));
		this.standIns.add(PlainServiceStandIn.start(plainAddress));
		EntrySettings settings = new EntrySettings("entry-1", "kigali-a", this.callerAddress, this.controlAddress,
				platformAddress, List.of(), PEER_KEY, ADMIN_KEY, "TEXT", 100, MAXIMUM_CONNECTIONS, bodyTimeoutMillis,
				2);
		new EntryInstance(settings).start();
		List<InstanceRecord> instances = List.of(instanceRecord("entry-1", InstanceRole.ENTRY, "", this.controlAddress),
				instanceRecord("engine-1", InstanceRole.BACKEND, "inyigisho", backendAddress.apply(this.engineAddress)),
				instanceRecord("plain-1", InstanceRole.BACKEND, "inguzanyo", backendAddress.apply(plainAddress)));
		this.client.call(HttpClientRequest.put(platformAddress, "/objects/instances?version=0", Json.write(instances)))
			.join();
		publishConfiguration(folder);
		awaitCondition(
				() -> this.client.call(HttpClientRequest.get(this.callerAddress, "/readyz")).join().status() == 200);
	}

	String runCli(String... arguments) {
		ByteArrayOutputStream output = new ByteArrayOutputStream();
		PrintStream printer = new PrintStream(output);
		CommandLineTool tool = new CommandLineTool(
				Map.of("SKYLARKSPRING_ADMIN_KEY", ADMIN_KEY, "SKYLARKSPRING_CONTROL_ADDRESS", this.controlAddress),
				printer, printer);
		ExitCode code = tool.run(arguments);
		return code + "\n" + output.toString(StandardCharsets.UTF_8);
	}

	static void awaitCondition(BooleanSupplier condition) {
		long end = System.currentTimeMillis() + START_TIMEOUT_MILLIS;
		while (System.currentTimeMillis() < end) {
			try {
				if (condition.getAsBoolean()) {
					return;
				}
				Thread.sleep(POLL_INTERVAL_MILLIS);
			}
			catch (CompletionException ex) {
				// The call failed, for example during start-up; retry.
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		}
		throw new AssertionError("condition was not met within " + START_TIMEOUT_MILLIS + " ms");
	}

	// The key digest is the SHA-256 of the workspace key "plans-test-key".
	private void publishConfiguration(Path folder) throws IOException {
		Files.writeString(folder.resolve("skylarkspring.json"), """
				{
				  "dataCentres": [{"name": "kigali-a", "region": "kigali"}],
				  "pools": [{"name": "inyigisho", "dataCentres": ["kigali-a"], "initialConcurrency": 8},
				            {"name": "inguzanyo", "dataCentres": ["kigali-a"], "initialConcurrency": 8}],
				  "services": [{"name": "inyigisho", "pool": "inyigisho", "maximumBodyBytes": 4000},
				               {"name": "inguzanyo", "kind": "plain", "pool": "inguzanyo", "maximumBodyBytes": 4000}],
				  "workspaces": [{"name": "plans", "keyDigest": "%s", "services": ["inyigisho", "inguzanyo"]}]
				}
				""".formatted("0cb52b9cec10ed2849c0d91c778091398939d4ffae75e6faf4fa266388b0996b"));
		PrintStream discardedOutput = new PrintStream(OutputStream.nullOutputStream());
		CommandLineTool tool = new CommandLineTool(Map.of("SKYLARKSPRING_ADMIN_KEY", ADMIN_KEY), discardedOutput,
				discardedOutput);
		awaitCondition(() -> tool.run("publish", folder.toString(), "--control-address",
				this.controlAddress) == ExitCode.DONE);
	}

	private static InstanceRecord instanceRecord(String name, InstanceRole role, String pool, String address) {
		return new InstanceRecord(name, role, pool, "kigali-a", address, InstanceState.LIVE);
	}

	private static String findFreeAddress() {
		try (ServerSocket socket = new ServerSocket(0, 1, InetAddress.getByName("127.0.0.1"))) {
			return "127.0.0.1:" + socket.getLocalPort();
		}
		catch (IOException ex) {
			throw new IllegalStateException(ex);
		}
	}

	@Override
	public void close() {
		this.client.close();
		this.standIns.forEach(Undertow::stop);
	}

}
