package org.skylarkspring.gateway.admission;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.Predicate;
import java.util.stream.Stream;

/**
 * Requests that wait at this instance for room. A repeat of a waiting request comes after
 * all others, so that a caller cannot get more than one place by repeating its request.
 */
final class AdmissionQueue {

	private final Map<Long, Entry> entries = new LinkedHashMap<>();

	/**
	 * Adds a request.
	 * @param request the request
	 * @param identity key that the request has in common with its repeats
	 */
	void add(AdmissionRequest request, String identity) {
		boolean repeat = this.entries.values().stream().anyMatch((entry) -> entry.identity().equals(identity));
		this.entries.put(request.id(), new Entry(request, identity, repeat));
	}

	/**
	 * Removes a request that is dispatched. Its repeats keep their places.
	 * @param id id of the request
	 * @return whether it was waiting
	 */
	boolean removeDispatched(long id) {
		return this.entries.remove(id) != null;
	}

	/**
	 * Removes a request that has ended without being dispatched. Its oldest repeat takes
	 * its place.
	 * @param id id of the request
	 * @return whether it was waiting
	 */
	boolean removeEnded(long id) {
		Entry removed = this.entries.remove(id);
		if (removed != null && !removed.repeat()) {
			findRepeat(removed.identity()).ifPresent((repeat) -> this.entries.replace(repeat.request().id(),
					new Entry(repeat.request(), repeat.identity(), false)));
		}
		return removed != null;
	}

	private Optional<Entry> findRepeat(String identity) {
		return this.entries.values().stream().filter((entry) -> entry.identity().equals(identity)).findFirst();
	}

	/**
	 * Returns the requests in the order in which they get room: by priority, workspaces
	 * within their fair shares first, then by value per token of memory and by deadline.
	 * @param exceedsShare whether a request belongs to a workspace above its fair share
	 * @return the requests
	 */
	List<AdmissionRequest> inOrder(Predicate<AdmissionRequest> exceedsShare) {
		List<Ranked> ranked = new ArrayList<>();
		this.entries.values()
			.forEach((entry) -> ranked
				.add(new Ranked(entry.request(), entry.repeat(), exceedsShare.test(entry.request()))));
		return ranked.stream().sorted(Ranked.ORDER).map(Ranked::request).toList();
	}

	Stream<AdmissionRequest> requests() {
		return this.entries.values().stream().map(Entry::request);
	}

	int size() {
		return this.entries.size();
	}

	private record Entry(AdmissionRequest request, String identity, boolean repeat) {
	}

	private record Ranked(AdmissionRequest request, boolean repeat, boolean exceedsShare) {

		private static final Comparator<Ranked> ORDER = Comparator.comparing(Ranked::repeat)
			.thenComparingInt((ranked) -> ranked.request.priority())
			.thenComparing(Ranked::exceedsShare)
			.thenComparing(Comparator.comparingDouble((Ranked ranked) -> ranked.request.valuePerToken()).reversed())
			.thenComparingLong((ranked) -> ranked.request.deadlineMillis());

	}

}
