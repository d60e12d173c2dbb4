package org.skylarkspring.gateway.admission;

import java.util.Comparator;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.ToDoubleFunction;

/**
 * Weighted max-min fair division of capacity between workspaces.
 */
public final class FairShares {

	private FairShares() {
	}

	/**
	 * Divides capacity. A workspace that wants less than its part leaves the rest to
	 * those that want more. What nobody wants is added in proportion to the weights, so
	 * that the shares always add up to the capacity.
	 * @param capacity the capacity
	 * @param wanted what each workspace uses and waits for
	 * @param weight weight of a workspace, above 0
	 * @return share of each workspace, empty if there are none
	 */
	public static Map<String, Double> divide(double capacity, Map<String, Long> wanted,
			ToDoubleFunction<String> weight) {
		List<String> leastFirst = wanted.keySet()
			.stream()
			.sorted(Comparator.comparingDouble((workspace) -> wanted.get(workspace) / weight.applyAsDouble(workspace)))
			.toList();
		double totalWeight = leastFirst.stream().mapToDouble(weight).sum();
		double remainingWeight = totalWeight;
		double remaining = capacity;
		Map<String, Double> shares = new LinkedHashMap<>();
		for (String workspace : leastFirst) {
			double share = Math.min(wanted.get(workspace),
					remaining * weight.applyAsDouble(workspace) / remainingWeight);
			shares.put(workspace, share);
			remaining -= share;
			remainingWeight -= weight.applyAsDouble(workspace);
		}
		double unwanted = Math.max(0, remaining);
		shares.replaceAll((workspace, share) -> share + unwanted * weight.applyAsDouble(workspace) / totalWeight);
		return shares;
	}

}
