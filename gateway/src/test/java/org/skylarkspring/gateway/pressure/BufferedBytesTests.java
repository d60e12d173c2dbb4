package org.skylarkspring.gateway.pressure;

import org.junit.jupiter.api.Nested;
import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.is;

/**
 * Tests {@link BufferedBytes}.
 */
class BufferedBytesTests {

	private final BufferedBytes memory = new BufferedBytes(100);

	@Nested
	class Reservations {

		@Test
		void refusesBytesAboveTheLimit() {
			assertThat(BufferedBytesTests.this.memory.tryReserve(60), is(true));
			assertThat(BufferedBytesTests.this.memory.tryReserve(41), is(false));
			assertThat(BufferedBytesTests.this.memory.heldBytes(), is(60L));
		}

		@Test
		void releasedBytesCanBeReservedAgain() {
			BufferedBytesTests.this.memory.tryReserve(100);
			BufferedBytesTests.this.memory.release(100);
			assertThat(BufferedBytesTests.this.memory.hasRoomFor(100), is(true));
		}

	}

}
