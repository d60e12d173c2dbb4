package org.skylarkspring.entry.internal;

import org.jetbrains.lincheck.datastructures.ModelCheckingOptions;
import org.junit.jupiter.api.Test;

/**
 * Checks with the Lincheck model checker that concurrent configuration updates and drain
 * directives on a {@link ControlState} are linearizable.
 */
class ControlStateConcurrencyTests {

	@Test
	void concurrentOperationsAreLinearizable() {
		new ModelCheckingOptions().iterations(5)
			.invocationsPerIteration(100)
			.threads(2)
			.actorsPerThread(3)
			.check(ControlStateOperations.class);
	}

}
