package org.skylarkspring.gateway.admission;

import org.junit.jupiter.api.Test;

class ClusterModelTrial {

	@Test
	void trial() {
		for (int engines : new int[] { 10, 12, 14, 16, 20, 24 }) {
			for (boolean controlled : new boolean[] { false, true }) {
				ClusterModel model = new ClusterModel(controlled, engines, 7);
				for (int w = 1; w <= 24; w++) {
					double share = Math.pow(w, -1.2) / 2.9;
					model.addLoad(ModelRequest.Kind.SUMMARY, "w" + w, 12.7 * share, 0, 30_000);
					model.addLoad(ModelRequest.Kind.ANSWER, "w" + w, 24.8 * share, 0, 30_000);
				}
				model.run();
				System.out.println("TRIAL " + engines + " " + model.describe());
			}
		}
	}

}
