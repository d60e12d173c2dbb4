import java.nio.file.Files;
import java.nio.file.Path;
import java.util.ArrayList;
import java.util.List;

/**
 * Case: the open channels to the store go silent, new ones work, and a worker drains.
 * Checks the rule DRAIN as its requesters and workers see it.
 */
public final class SilentStoreChannels {

	private static final int TOUCH_MILLIS = 3_000;

	private static final int DRAIN_MILLIS = 2_000;

	/** How much longer than it must the worker serves: "a little longer (at times many seconds)". */
	private static final int LONGER_MILLIS = 2_200;

	private static final int ORDER_DEADLINE_MILLIS = 2_500;

	private SilentStoreChannels() {
	}

	public static void main(String[] arguments) throws Exception {
		Path root = Path.of(arguments[0]);
		Journal journal = new Journal(Path.of(arguments[1]));
		boolean trouble = !arguments[2].equals("0");
		Path folder = Files.createTempDirectory("silent-store-channels");
		String ip = Gateway.ip(200);
		Store store = new Store(ip);
		Proxy proxy = new Proxy(ip, store.address());
		store.put("config", "main", Files.readString(Path.of(arguments[3])));
		List<Worker> workers = new ArrayList<>();
		for (int number = 1; number <= 3; number++) {
			workers.add(new Worker(journal, ip, "i-desk" + number, "desk", "kigali-" + "abc".charAt(number - 1), 43));
		}
		store.put("servers", workers.get(0).id(), workers.get(0).entry("ready"));
		store.put("servers", workers.get(1).id(), workers.get(1).entry("ready"));
		List<Gateway> gateways = new ArrayList<>();
		for (int number = 1; number <= 3; number++) {
			Gateway gateway = new Gateway(folder, number, "kigali-" + "abc".charAt(number - 1), proxy.address(), 0.75);
			gateways.add(gateway);
			gateway.start(root);
		}
		gateways.forEach(Gateway::awaitReady);
		journal.add("all gateways are ready");
		boolean[] running = { true };
		List<Thread> callers = new ArrayList<>();
		for (int number = 0; number < 9; number++) {
			Gateway gateway = gateways.get(number % 3);
			callers.add(Threads.start(() -> {
				Caller caller = new Caller(journal, gateway, "key1");
				while (running[0]) {
					caller.send("POST", "/orders/2f", ORDER_DEADLINE_MILLIS);
					Threads.sleep(60);
				}
				caller.close();
			}));
		}
		Threads.sleep(3_000);
		store.put("servers", workers.get(2).id(), workers.get(2).entry("ready"));
		journal.add("a third worker, " + workers.get(2).id() + ", is in the store");
		Threads.sleep(300);
		long silentMillis = journal.nowMillis();
		if (trouble) {
			journal.add("open channels to the store go silent: " + proxy.silenceOpenConnections());
		}
		Threads.sleep(500);
		Worker leaving = workers.get(0);
		store.put("servers", leaving.id(), leaving.entry("draining"));
		long drainingMillis = journal.nowMillis();
		journal.add(leaving.id() + " is draining, acknowledged by the store");
		Threads.sleep(DRAIN_MILLIS + LONGER_MILLIS);
		leaving.exit();
		long exitMillis = journal.nowMillis();
		store.delete("servers", leaving.id());
		Threads.sleep(3_000);
		running[0] = false;
		for (Thread caller : callers) {
			caller.join(ORDER_DEADLINE_MILLIS + 500);
		}
		long fromMillis = Math.max(drainingMillis + DRAIN_MILLIS, trouble ? silentMillis + TOUCH_MILLIS : 0);
		List<Worker.Run> late = leaving.runs.stream().filter((run) -> run.atMillis() > fromMillis).toList();
		late.forEach((run) -> journal.add("late: " + run.request() + " reached " + run.worker() + " "
				+ (run.atMillis() - drainingMillis) + " ms after the acknowledgement, "
				+ (run.atMillis() - silentMillis) + " ms after the channels went silent, answer "
				+ Caller.ANSWERS.getOrDefault(run.request(), 0)));
		long lost = late.stream().filter((run) -> Caller.ANSWERS.getOrDefault(run.request(), 0) != 200).count();
		long others = workers.get(1).runs.size() + workers.get(2).runs.size();
		journal.say("orders sent " + Caller.SENT.size() + ", run by the leaving worker " + leaving.runs.size()
				+ ", by the others " + others + "; exit " + (exitMillis - drainingMillis) + " ms after the acknowledgement");
		journal.say("DRAIN: " + late.size() + " orders reached the leaving worker later than " + DRAIN_MILLIS
				+ " ms after the acknowledgement, at machines in touch; " + lost
				+ " of these were lost when it exited");
		boolean sound = gateways.stream().allMatch(Gateway::isAlive) && others > 50 && !leaving.runs.isEmpty();
		gateways.forEach(Gateway::end);
		journal.save();
		if (!sound) {
			System.out.println("the case could not run");
			System.exit(2);
		}
		System.exit(late.isEmpty() ? 0 : 1);
	}

}
