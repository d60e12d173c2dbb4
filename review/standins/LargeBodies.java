import java.io.IOException;
import java.io.OutputStream;
import java.util.ArrayList;
import java.util.List;

/**
 * A new manifest adds a route. Requests on it have bodies of 3 MB, which both manifests allow, those on the first routes
 * have small ones. Without the disruption, there is no new manifest, so that the same requests are on no route.
 */
final class LargeBodies extends Case {

	/** Within {@code max-body-bytes}, 4,194,304. */
	private static final int BODY_BYTES = 3_000_000;

	private static final int REQUESTS_PER_GATEWAY = 10;

	/** The rule counts 20 requests and more on routes that were added later. */
	private static final int MINIMUM_REQUESTS = 20;

	private LargeBodies(String[] arguments) throws Exception {
		super(arguments);
	}

	public static void main(String[] arguments) throws Exception {
		new LargeBodies(arguments).run();
	}

	@Override
	void answer(Worker.Request request, OutputStream out) throws IOException {
		Threads.sleep(43);
		out.write(Worker.head(request, 800));
		out.write(new byte[800]);
	}

	@Override
	List<String> play() throws Exception {
		if (this.trouble) {
			this.store.put("config", "main", Manifest.withAddedRoute(2, TIMEOUT_MILLIS));
			this.record.add("manifest", "operator", "", "version 2 adds /intake/");
		}
		// Past the time within which a version has to be in force, and past touch-ms.
		Threads.sleep(5_000);
		int servedFirst = sendAll("first", "POST /book/1", 600);
		int servedAdded = sendAll("added", "POST /intake/1", BODY_BYTES);
		int requests = this.gateways.size() * REQUESTS_PER_GATEWAY;
		this.record.add("served", "", "", servedFirst + " of " + requests + " on the first route, " + servedAdded + " of "
				+ requests + " with large bodies on " + (this.trouble ? "the added route" : "no route"));
		boolean broken = this.trouble && requests >= MINIMUM_REQUESTS && servedAdded * 4 < servedFirst;
		return broken ? List.of("CONFIG: " + servedAdded + " of " + requests + " requests on the added route were served, "
				+ servedFirst + " of " + requests + " on the first route") : List.of();
	}

	private int sendAll(String prefix, String line, int bytes) {
		List<String> served = new ArrayList<>();
		for (Gateway gateway : this.gateways) {
			for (int count = 0; count < REQUESTS_PER_GATEWAY; count++) {
				String id = prefix + "-" + gateway.name.charAt(gateway.name.length() - 1) + "-" + count;
				try (Caller caller = new Caller(gateway, this.record, 0, 0)) {
					caller.send(line, id, TIMEOUT_MILLIS, new byte[bytes]);
					if (caller.receive(id).isServed()) {
						served.add(id);
					}
				}
				catch (IOException ex) {
					this.record.add("no answer", "requester", id, String.valueOf(ex.getMessage()));
				}
			}
		}
		return served.size();
	}

}
