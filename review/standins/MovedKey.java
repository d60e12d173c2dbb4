import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;

/** A manifest gives a key of one tenant to another one, while bodies of requests with that key are on their way. */
final class MovedKey extends Case {

	private static final int REQUESTS_PER_GATEWAY = 3;

	/** Within what the gateway takes, and within {@code max-body-bytes}, 4,194,304. */
	private static final int BODY_BYTES = 1_800_000;

	private static final int PARTS = 90;

	/** Time that a requester takes to send a body, less than {@code idle-timeout-ms}, 15,000. */
	private static final long SENDING_MILLIS = 9_000;

	/** The longest time that a new version may take for anything, {@code revocation-ms}. */
	private static final long APPLY_MILLIS = 5_000;

	private MovedKey(String[] arguments) throws Exception {
		super(arguments);
	}

	public static void main(String[] arguments) throws Exception {
		new MovedKey(arguments).run();
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
		this.store.put("config", "main", Manifest.withSecondTenant(2, TIMEOUT_MILLIS, false));
		this.record.add("manifest", "operator", "", "version 2, the second key is of " + Manifest.TENANT);
		Threads.sleep(4_000);
		List<Thread> requesters = new ArrayList<>();
		List<String> ids = new ArrayList<>();
		for (Gateway gateway : this.gateways) {
			for (int count = 0; count < REQUESTS_PER_GATEWAY; count++) {
				String id = "slow-" + gateway.name.charAt(gateway.name.length() - 1) + "-" + count;
				ids.add(id);
				requesters.add(Threads.start("requester", () -> {
					try (Caller caller = new Caller(gateway, this.record, 0, 0)) {
						caller.sendSlowly("POST /book/1", id, Manifest.SECOND_KEY, TIMEOUT_MILLIS, new byte[BODY_BYTES],
								PARTS, SENDING_MILLIS);
						caller.receive(id);
					}
				}));
			}
		}
		Threads.sleep(1_000);
		long movedMillis = Long.MAX_VALUE / 2;
		if (this.trouble) {
			this.store.put("config", "main", Manifest.withSecondTenant(3, TIMEOUT_MILLIS, true));
			movedMillis = this.record.nowMillis();
			this.record.add("manifest", "operator", "", "version 3 gives the second key to " + Manifest.SECOND_TENANT);
		}
		for (Thread requester : requesters) {
			requester.join(TIMEOUT_MILLIS);
		}
		List<String> breaches = new ArrayList<>();
		for (String id : ids) {
			for (CaseRecord.Entry entry : this.record.find("tenant at the worker", id)) {
				if (entry.millis() > movedMillis + APPLY_MILLIS && !entry.who().equals(Manifest.SECOND_TENANT)) {
					breaches.add("UNASKED: " + id + " ran as " + entry.who() + " "
							+ (entry.millis() - movedMillis) + " ms after its key was given to "
							+ Manifest.SECOND_TENANT);
				}
			}
		}
		return breaches;
	}

}
