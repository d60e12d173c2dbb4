import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;

/** A manifest takes a key away from its tenant. Later, requests with that key are sent, some on an anonymous route. */
final class RevokedKey extends Case {

	private static final int REQUESTS_PER_GATEWAY = 4;

	/** {@code revocation-ms} and a second. */
	private static final long WAIT_MILLIS = 6_000;

	private RevokedKey(String[] arguments) throws Exception {
		super(arguments);
	}

	public static void main(String[] arguments) throws Exception {
		new RevokedKey(arguments).run();
	}

	@Override
	void answer(Worker.Request request, OutputStream out) throws IOException {
		this.record.add("tenant at the worker", request.headers.getOrDefault("tenant-id", "(none)"), request.id(), "");
		Threads.sleep(43);
		out.write(Worker.head(request, 800));
		out.write(new byte[800]);
	}

	@Override
	List<String> play() throws Exception {
		this.store.put("config", "main", Manifest.withAnonymousRoute(2, TIMEOUT_MILLIS, true));
		this.record.add("manifest", "operator", "", "version 2 with both keys");
		Threads.sleep(5_000);
		sendAll("before-keyed", "POST /book/1");
		sendAll("before-open", "POST /open/1");
		if (this.trouble) {
			this.store.put("config", "main", Manifest.withAnonymousRoute(3, TIMEOUT_MILLIS, false));
			this.record.add("manifest", "operator", "", "version 3 takes the second key away");
		}
		Threads.sleep(WAIT_MILLIS);
		List<String> ids = new ArrayList<>(sendAll("after-keyed", "POST /book/1"));
		ids.addAll(sendAll("after-open", "POST /open/1"));
		return ids.stream()
			.filter((id) -> this.trouble && !this.record.find("run", id).isEmpty())
			.map((id) -> "CONFIG: " + id + " ran more than " + WAIT_MILLIS
					+ " ms after the acknowledgement of the manifest that took its key away")
			.toList();
	}

	private List<String> sendAll(String prefix, String line) throws IOException {
		List<String> ids = new ArrayList<>();
		for (Gateway gateway : this.gateways) {
			for (int count = 0; count < REQUESTS_PER_GATEWAY; count++) {
				String id = prefix + "-" + gateway.name.charAt(gateway.name.length() - 1) + "-" + count;
				ids.add(id);
				try (Caller caller = new Caller(gateway, this.record, 0, 0)) {
					caller.send(line, id, Manifest.SECOND_KEY, TIMEOUT_MILLIS, new byte[600]);
					caller.receive(id);
				}
			}
		}
		return ids;
	}

}
