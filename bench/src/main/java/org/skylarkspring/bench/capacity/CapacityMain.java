package org.skylarkspring.bench.capacity;

import java.nio.charset.StandardCharsets;
import java.util.ArrayList;
import java.util.List;
import java.util.Locale;
import java.util.Map;
import java.util.function.IntFunction;

import org.skylarkspring.core.model.DrainDirective;
import org.skylarkspring.core.model.RecordedResponse;
import org.skylarkspring.core.model.StoredObject;
import org.skylarkspring.core.model.WarmupRecord;
import org.skylarkspring.entry.api.EngineMessages;
import org.skylarkspring.entry.http.Json;

/**
 * Measures the heap used by one decision core and the JSON size of its messages, each for
 * several numbers of elements such as servers or workspaces. Prints the sizes and the
 * slope, which is the growth for each added element between the smallest and the largest
 * number.
 */
public final class CapacityMain {

	private static final int COPIES_PER_MEASUREMENT = 3;

	private static final int GC_ROUNDS = 4;

	private CapacityMain() {
	}

	/**
	 * Runs all measurements and prints one line each.
	 * @param arguments not used
	 */
	public static void main(String[] arguments) {
		System.out.println("heap of one decision core, bytes");
		printHeapUsage("servers (260 workspaces)", new int[] { 130, 520, 1_300 },
				(size) -> new DecisionCoreFixture(size, 260, 41));
		printHeapUsage("workspaces in use (130 servers)", new int[] { 260, 1_300, 2_600 },
				CapacityMain::createCoreWithAllWorkspacesInUse);
		printHeapUsage("entry instances (130 servers)", new int[] { 41, 205, 410 },
				(size) -> new DecisionCoreFixture(130, 260, size));
		printHeapUsage("open requests (130 servers)", new int[] { 100, 400, 800 },
				CapacityMain::createCoreWithOpenRequests);
		System.out.println();
		System.out.println("messages, bytes of JSON");
		printMessageSizes("configuration, by workspaces", new int[] { 260, 1_300, 2_600 },
				DecisionCoreFixture::configuration);
		printMessageSizes("list of instances, by instances", new int[] { 171, 855, 1_710 },
				(size) -> DecisionCoreFixture.instances(size * 1_300 / 1_710, size * 410 / 1_710));
		printMessageSizes("load report, by cache events", new int[] { 0, 4, 8 }, CapacityMain::loadReport);
		printMessageSizes("warm-up records, by servers", new int[] { 1, 16, 32 }, CapacityMain::warmupRecords);
		printMessageSizes("directives, by targets", new int[] { 1, 5, 13 }, CapacityMain::directives);
		printMessageSizes("lease", new int[] { 1 }, (size) -> new StoredObject.Lease("entry-0123", 17, 10_000, 123));
		printMessageSizes("claim, started", new int[] { 1 }, (size) -> claim(null));
		printMessageSizes("claim, finished", new int[] { 1 },
				(size) -> claim(new RecordedResponse(201, "application/json", "{\"bookingNumber\":12345}", false)));
		System.out.println();
		System.out.printf("servers polled by one instance at 1300 servers: %d%n",
				new DecisionCoreFixture(1_300, 2_600, 410).polledServerCount());
	}

	private static DecisionCoreFixture createCoreWithAllWorkspacesInUse(int workspaces) {
		DecisionCoreFixture core = new DecisionCoreFixture(130, workspaces, 41);
		for (int request = 0; request < workspaces; request++) {
			if (request % 8 == 0) {
				core.reportIdleLoad();
			}
			core.submitRequest();
			core.completeOldestRequest();
		}
		return core;
	}

	private static DecisionCoreFixture createCoreWithOpenRequests(int requests) {
		DecisionCoreFixture core = new DecisionCoreFixture(130, 260, 41);
		for (int request = 0; request < 8 * requests && core.openRequestCount() < requests; request++) {
			if (request % 4 == 0) {
				core.reportIdleLoad();
			}
			core.submitRequest();
		}
		return core;
	}

	private static void printHeapUsage(String name, int[] sizes, IntFunction<DecisionCoreFixture> create) {
		create.apply(sizes[0]);
		List<Long> bytes = new ArrayList<>();
		for (int size : sizes) {
			bytes.add(measureHeapBytes(size, create));
		}
		printSizes(name, sizes, bytes);
	}

	private static long measureHeapBytes(int size, IntFunction<DecisionCoreFixture> create) {
		long before = usedHeapBytes();
		List<DecisionCoreFixture> copies = new ArrayList<>();
		for (int copy = 0; copy < COPIES_PER_MEASUREMENT; copy++) {
			copies.add(create.apply(size));
		}
		long used = (usedHeapBytes() - before) / copies.size();
		copies.clear();
		return used;
	}

	private static long usedHeapBytes() {
		for (int round = 0; round < GC_ROUNDS; round++) {
			System.gc();
		}
		return Runtime.getRuntime().totalMemory() - Runtime.getRuntime().freeMemory();
	}

	private static void printMessageSizes(String name, int[] sizes, IntFunction<Object> create) {
		List<Long> bytes = new ArrayList<>();
		for (int size : sizes) {
			bytes.add((long) Json.write(create.apply(size)).getBytes(StandardCharsets.UTF_8).length);
		}
		printSizes(name, sizes, bytes);
	}

	private static void printSizes(String name, int[] sizes, List<Long> bytes) {
		StringBuilder line = new StringBuilder(String.format(Locale.ROOT, "  %-34s", name));
		for (int index = 0; index < sizes.length; index++) {
			line.append(String.format(Locale.ROOT, " %5d: %9d", sizes[index], bytes.get(index)));
		}
		if (sizes.length > 1) {
			int last = sizes.length - 1;
			double slope = (bytes.get(last) - bytes.get(0)) / (double) (sizes[last] - sizes[0]);
			line.append(String.format(Locale.ROOT, "  slope %.0f", slope));
		}
		System.out.println(line);
	}

	private static Object loadReport(int cacheEvents) {
		List<EngineMessages.CacheEvent> events = new ArrayList<>();
		for (int index = 0; index < cacheEvents; index++) {
			events.add(new EngineMessages.CacheEvent(100_000 + index, 0x123456789abcdefL, true));
		}
		return new EngineMessages.LoadResponse(1_800_000_000_000L, 1_800_000_000_123L, 40, 3, 2_100, 2_600, 16,
				54.123456789, 12, "v1", false, events);
	}

	private static Object warmupRecords(int servers) {
		List<WarmupRecord> records = new ArrayList<>();
		for (int index = 0; index < servers; index++) {
			records.add(new WarmupRecord("server-" + index, 1_800_000_000_000L, 1, 12_345));
		}
		return records;
	}

	private static Object directives(int targets) {
		List<DrainDirective> directives = new ArrayList<>();
		for (int index = 0; index < targets; index++) {
			directives
				.add(new DrainDirective(DrainDirective.TargetKind.DATA_CENTRE, "dc-" + index, true, index, "entry-0"));
		}
		return directives;
	}

	private static Object claim(RecordedResponse response) {
		return Map.of("claim",
				new StoredObject.IdempotencyRecord("entry-0123/123456/-1234567890123456789", "a".repeat(64),
						StoredObject.IdempotencyState.STARTED,
						(response != null) ? response : new RecordedResponse(0, "", "", false)));
	}

}
