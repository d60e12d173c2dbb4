import java.io.IOException;
import java.net.InetAddress;
import java.net.ServerSocket;
import java.net.Socket;
import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/** A gateway process, started with the command of the deploy file. */
final class Gateway {

	private final Path folder;

	private final String name;

	private final String ip;

	private final int callers;

	private final int ready;

	private Process process;

	/**
	 * Writes the settings of a process.
	 * @param folder folder for settings and log
	 * @param number number of the gateway, from 1
	 * @param zone zone of the gateway
	 * @param store address of the store
	 * @param cores processor cores
	 */
	Gateway(Path folder, int number, String zone, String store, double cores) throws IOException {
		this.folder = folder;
		this.name = "frontend-" + zone + "-" + number;
		this.ip = ip(number);
		this.callers = freePort(this.ip);
		this.ready = freePort(this.ip);
		int peers = freePort(this.ip);
		List<String> lines = new ArrayList<>(List.of("node-name=" + this.name, "role=gateway",
				"machine-class=frontend", "serves=frontend", "ip-address=" + this.ip, "zone=" + zone, "region=kigali",
				"zones.kigali-a=kigali", "zones.kigali-b=kigali", "zones.kigali-c=kigali",
				"listen-addresses.frontend=" + this.ip + ":" + this.callers,
				"listen-addresses.ready=" + this.ip + ":" + this.ready, "internal-port-range=" + peers + "," + peers,
				"seed-nodes=", "first-start=true", "counts-as-loss=false", "limits.cpu-share=" + cores,
				"limits.cpu-cores=1", "limits.memory-mb=430", "limits.file-descriptors=4100", "limits.link-mbps=1000.0",
				"limits.disk-mb=0", "discovery=platform", "entry-point=vip", "heartbeat-interval-ms=1200",
				"contracts=base,drain,config,cost,retry,recover,engine,stream,tenants,places,platform",
				"bounds.address-reuse-s=2", "bounds.touch-ms=3000", "bounds.ack-timeout-ms=4000",
				"bounds.drain-timeout-ms=2000", "bounds.grace-period-s=8", "bounds.loss-slack-ms=200",
				"bounds.config-apply-ms=2000", "bounds.downgrade-slack-ms=250", "bounds.outer-bound-ms=5000",
				"bounds.fail-closed=true", "bounds.revocation-ms=5000", "bounds.retry-budget-ratio=0.2",
				"bounds.budget-window-s=10", "bounds.retry-budget-extra=52", "bounds.cold-overage=1.5",
				"bounds.cold-slack=5", "bounds.evacuation-ms=5000", "bounds.recovery-s=12", "bounds.pass-ms=120",
				"platform-settings.address=" + store, "platform-settings.form=objects",
				"platform-settings.writes-per-s=400", "platform-settings.reads-per-s=2000",
				"platform-settings.history-s=20", "platform-settings.value-bytes=1048576"));
		Files.write(settings(), lines);
	}

	/** Returns an address of this run, so that runs beside each other share no port. */
	static String ip(int number) {
		long pid = ProcessHandle.current().pid();
		return "127." + (1 + pid / 250 % 250) + "." + (1 + pid % 250) + "." + number;
	}

	static int freePort(String ip) throws IOException {
		// Below the ports of outgoing connections.
		for (int port = 20_000 + (int) (Math.random() * 10_000);; port++) {
			try (ServerSocket probe = new ServerSocket(port, 1, InetAddress.getByName(ip))) {
				return probe.getLocalPort();
			}
			catch (IOException ex) {
				// In use.
			}
		}
	}

	private Path settings() {
		return this.folder.resolve(this.name + ".conf");
	}

	Path log() {
		return this.folder.resolve(this.name + ".log");
	}

	String name() {
		return this.name;
	}

	String ip() {
		return this.ip;
	}

	int callers() {
		return this.callers;
	}

	boolean isAlive() {
		return this.process.isAlive();
	}

	void start(Path root) throws IOException {
		String deploy = Files.readString(root.resolve("deploy/system.toml"));
		int role = deploy.indexOf("[roles.gateway]");
		int start = deploy.indexOf("run = \"", role) + "run = \"".length();
		String run = deploy.substring(start, deploy.indexOf('"', start));
		ProcessBuilder builder = new ProcessBuilder(run.split(" ")).directory(root.toFile())
			.redirectErrorStream(true)
			.redirectOutput(ProcessBuilder.Redirect.appendTo(log().toFile()));
		builder.environment().put("SKYLARKSPRING_NODE_FILE", settings().toString());
		this.process = builder.start();
		Process started = this.process;
		Runtime.getRuntime().addShutdownHook(new Thread(started::destroyForcibly));
	}

	void signal(String name) throws IOException {
		try {
			new ProcessBuilder("kill", "-" + name, String.valueOf(this.process.pid())).start().waitFor();
		}
		catch (InterruptedException ex) {
			throw new IllegalStateException(ex);
		}
	}

	boolean isReady() {
		try (Socket socket = new Socket(this.ip, this.ready)) {
			socket.setSoTimeout(1_000);
			socket.getOutputStream().write(Http.bytes("GET /v1/readiness HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n"));
			Http.Message answer = Http.read(socket.getInputStream());
			return answer != null && answer.status() == 200;
		}
		catch (IOException ex) {
			return false;
		}
	}

	void awaitReady() {
		for (int tries = 0; tries < 400; tries++) {
			if (isReady()) {
				return;
			}
			Threads.sleep(50);
		}
		throw new IllegalStateException(this.name + " is not ready");
	}

	void end() {
		this.process.destroyForcibly();
	}

}
