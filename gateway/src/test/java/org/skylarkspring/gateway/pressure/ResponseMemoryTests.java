package org.skylarkspring.gateway.pressure;

import java.util.ArrayList;
import java.util.List;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.greaterThanOrEqualTo;
import static org.hamcrest.Matchers.is;
import static org.hamcrest.Matchers.lessThan;

/**
 * Tests {@link ResponseMemory}.
 */
class ResponseMemoryTests {

	private static final int RESPONSES = 900;

	/** A quarter of the smallest heap in use, and the minimum of each response. */
	private static final long MAXIMUM_HELD_BYTES = 24L * 1024 * 1024
			+ (long) RESPONSES * ResponseMemory.MINIMUM_RESPONSE_BYTES;

	private final ResponseMemory memory = new ResponseMemory();

	@Test
	void responsesThatBeginOneAfterAnotherStayWithinTheSharedMemory() {
		for (int number = 0; number < RESPONSES; number++) {
			this.memory.openShare().set(this.memory.maximumResponseBytes());
		}
		assertThat(this.memory.heldBytes(), lessThan(MAXIMUM_HELD_BYTES));
	}

	@Test
	void responsesThatHoldTwiceTheirLimitStayWithinTheSharedMemory() {
		for (int number = 0; number < RESPONSES; number++) {
			this.memory.openShare().set(2 * this.memory.maximumResponseBytes());
		}
		assertThat(this.memory.heldBytes(),
				lessThan(MAXIMUM_HELD_BYTES + (long) RESPONSES * ResponseMemory.MINIMUM_RESPONSE_BYTES));
	}

	@Test
	void fewResponsesMayHoldTheMaximum() {
		for (int number = 0; number < 200; number++) {
			assertThat(this.memory.maximumResponseBytes(), is(ResponseMemory.MAXIMUM_RESPONSE_BYTES));
			this.memory.openShare().set(ResponseMemory.MAXIMUM_RESPONSE_BYTES);
		}
	}

	@Test
	void releasedMemoryIsFree() {
		List<ResponseMemory.Share> shares = new ArrayList<>();
		for (int number = 0; number < RESPONSES; number++) {
			ResponseMemory.Share share = this.memory.openShare();
			share.set(this.memory.maximumResponseBytes());
			shares.add(share);
		}
		assertThat(this.memory.maximumResponseBytes(), greaterThanOrEqualTo(ResponseMemory.MINIMUM_RESPONSE_BYTES));
		shares.forEach(ResponseMemory.Share::close);
		shares.forEach((share) -> share.set(1));
		shares.forEach(ResponseMemory.Share::close);
		assertThat(this.memory.heldBytes(), is(0L));
		assertThat(this.memory.maximumResponseBytes(), is(ResponseMemory.MAXIMUM_RESPONSE_BYTES));
	}

	@Test
	void fewSlowCallersMayHoldMoreThanOtherResponses() {
		assertThat(this.memory.maximumPendingBytes(), greaterThanOrEqualTo(512 * 1024));
		this.memory.openShare().set(this.memory.maximumPendingBytes());
		assertThat(this.memory.maximumResponseBytes(), is(ResponseMemory.MAXIMUM_RESPONSE_BYTES));
	}

	@Test
	void manySlowCallersLeaveMemoryToOtherResponses() {
		for (int number = 0; number < RESPONSES; number++) {
			this.memory.openShare().set(this.memory.maximumPendingBytes());
			assertThat(this.memory.maximumPendingBytes(), greaterThanOrEqualTo(this.memory.maximumResponseBytes()));
		}
		assertThat(this.memory.heldBytes(), lessThan(MAXIMUM_HELD_BYTES));
	}

	@Test
	void slowCallersThatTakeTheirLargerPartsLeaveOthersTheMaximum() {
		while (this.memory.maximumPendingBytes() > ResponseMemory.MAXIMUM_RESPONSE_BYTES) {
			this.memory.openShare().set(this.memory.maximumPendingBytes());
		}
		assertThat(this.memory.maximumResponseBytes(), is(ResponseMemory.MAXIMUM_RESPONSE_BYTES));
	}

}
