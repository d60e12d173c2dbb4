package org.skylarkspring.gateway.internal;

import java.util.ArrayList;
import java.util.List;
import java.util.Set;

import org.junit.jupiter.api.Test;

import static org.hamcrest.MatcherAssert.assertThat;
import static org.hamcrest.Matchers.contains;
import static org.hamcrest.Matchers.empty;

/**
 * Tests for {@link ReappearanceGrace}.
 */
class ReappearanceGraceTests {

	private final VirtualTimeScheduler scheduler = new VirtualTimeScheduler();

	private final List<String> gone = new ArrayList<>();

	private final ReappearanceGrace grace = new ReappearanceGrace(this.scheduler, this.gone::add);

	@Test
	void entryMissingWithoutOutageIsGoneAtOnce() {
		this.grace.onListed(Set.of("a", "b"), Set.of("b"), false);
		assertThat(this.gone, contains("a"));
	}

	@Test
	void entryMissingAfterOutageIsGoneWhenGraceEnds() {
		this.grace.onListed(Set.of("a"), Set.of(), true);
		this.scheduler.advance(2_200);
		assertThat(this.gone, empty());
		this.scheduler.advance(100);
		assertThat(this.gone, contains("a"));
	}

	@Test
	void entryThatReappearsIsNotGone() {
		this.grace.onListed(Set.of("a"), Set.of(), true);
		this.grace.onChanged("a");
		this.scheduler.advance(5_000);
		assertThat(this.gone, empty());
	}

	@Test
	void listWithinGraceDoesNotEndIt() {
		this.grace.onListed(Set.of("a"), Set.of(), true);
		this.scheduler.advance(1_000);
		this.grace.onListed(Set.of("a"), Set.of(), false);
		assertThat(this.gone, empty());
		this.scheduler.advance(1_300);
		assertThat(this.gone, contains("a"));
	}

	@Test
	void secondReturnStartsGraceAnew() {
		this.grace.onListed(Set.of("a"), Set.of(), true);
		this.scheduler.advance(2_000);
		this.grace.onListed(Set.of("a"), Set.of(), true);
		this.scheduler.advance(2_000);
		assertThat(this.gone, empty());
		this.scheduler.advance(300);
		assertThat(this.gone, contains("a"));
	}

}
