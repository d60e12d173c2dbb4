import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;
import java.util.Map;
import java.util.stream.Collectors;

/**
 * Case: workers run requests and lose the answers, and the path of an order begins with the prefix of a
 * non-idempotent route only. Checks the rule TWICE.
 */
public final class PathOfAnotherRoute {

	/** Of the two prefixes, /orders/ and /orders/status/, only the first one begins this path. */
	private static final String PATH = "/orders/status;v=2/2f";

	/** An order on the same route, to compare. */
	private static final String USUAL_PATH = "/orders/2f";

	private static final int ORDER_DEADLINE_MILLIS = 2_500;

	private static final int LOSS_MILLIS = 4_000;

	/** Share of 0.05 of the answers. */
	private static final int ONE_ANSWER_OF = 20;

	private PathOfAnotherRoute() {
	}

	public static void main(String[] arguments) throws Exception {
		Path root = Path.of(arguments[0]);
		Journal journal = new Journal(Path.of(arguments[1]));
		boolean trouble = !arguments[2].equals("0");
		Path folder = Files.createTempDirectory("path-of-another-route");
		String ip = Gateway.ip(200);
		Store store = new Store(ip);
		store.put("config", "main", Files.readString(Path.of(arguments[3])));
		List<Worker> workers = new ArrayList<>();
		for (int number = 1; number <= 2; number++) {
			Worker worker = new Worker(journal, ip, "i-desk" + number, "desk", "kigali-" + "ab".charAt(number - 1), 43);
			workers.add(worker);
			store.put("servers", worker.id(), worker.entry("ready"));
		}
		List<Gateway> gateways = new ArrayList<>();
		for (int number = 1; number <= 2; number++) {
			Gateway gateway = new Gateway(folder, number, "kigali-" + "ab".charAt(number - 1), store.address(), 0.75);
			gateways.add(gateway);
			gateway.start(root);
		}
		gateways.forEach(Gateway::awaitReady);
		boolean[] running = { true };
		List<Thread> callers = new ArrayList<>();
		for (int number = 0; number < 8; number++) {
			Gateway gateway = gateways.get(number % 2);
			callers.add(Threads.start(() -> {
				Caller caller = new Caller(journal, gateway, "key1");
				while (running[0]) {
					caller.send("POST", PATH, ORDER_DEADLINE_MILLIS);
					Threads.sleep(20);
					caller.send("POST", USUAL_PATH, ORDER_DEADLINE_MILLIS);
					Threads.sleep(20);
				}
				caller.close();
			}));
		}
		Threads.sleep(2_000);
		if (trouble) {
			journal.add("half of the workers, " + workers.get(0).id() + ", lose one answer of " + ONE_ANSWER_OF);
			workers.get(0).losesOneAnswerOf = ONE_ANSWER_OF;
		}
		Threads.sleep(LOSS_MILLIS);
		workers.get(0).losesOneAnswerOf = 0;
		journal.add("no answers are lost any more");
		Threads.sleep(2_000);
		running[0] = false;
		for (Thread caller : callers) {
			caller.join(ORDER_DEADLINE_MILLIS + 500);
		}
		Map<String, List<Worker.Run>> runs = workers.stream()
			.flatMap((worker) -> worker.runs.stream())
			.collect(Collectors.groupingBy(Worker.Run::request));
		List<List<Worker.Run>> twice = runs.values().stream().filter((all) -> all.size() > 1).toList();
		twice.forEach((all) -> journal.add("twice: " + all.get(0).request() + " " + all.get(0).path() + " ran on "
				+ all.stream().map((run) -> run.worker() + " at " + run.atMillis() + " ms").toList() + ", answer "
				+ Caller.ANSWERS.getOrDefault(all.get(0).request(), 0)));
		journal.say("orders sent " + Caller.SENT.size() + ", run " + runs.size());
		Map<String, Long> byPath = twice.stream()
			.collect(Collectors.groupingBy((all) -> all.get(0).path(), Collectors.counting()));
		journal.say("TWICE: " + twice.size() + " orders on a non-idempotent route ran more than once: " + byPath);
		boolean sound = gateways.stream().allMatch(Gateway::isAlive) && runs.size() > 100;
		gateways.forEach(Gateway::end);
		journal.save();
		if (!sound) {
			System.out.println("the case could not run");
			System.exit(2);
		}
		System.exit(twice.isEmpty() ? 0 : 1);
	}

}
