package org.crocuspost.interference;

import java.time.Duration;
import java.time.Instant;

import org.crocuspost.time.VirtualTime;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

class EvictionBudgetTests {

	private final VirtualTime time = new VirtualTime(Instant.EPOCH);

	private final EvictionBudget budget = new EvictionBudget(this.time, Duration.ofMinutes(5), 2);

	@Test
	void burstIsBoundedAndRefillsWithTime() {
		assertThat(this.budget.tryAcquire()).isTrue();
		assertThat(this.budget.tryAcquire()).isTrue();
		assertThat(this.budget.tryAcquire()).isFalse();
		this.time.advance(Duration.ofMinutes(4));
		assertThat(this.budget.tryAcquire()).isFalse();
		this.time.advance(Duration.ofMinutes(1));
		assertThat(this.budget.tryAcquire()).isTrue();
	}

	@Test
	void budgetDoesNotGrowBeyondTheBurst() {
		this.time.advance(Duration.ofDays(1));
		assertThat(this.budget.tryAcquire()).isTrue();
		assertThat(this.budget.tryAcquire()).isTrue();
		assertThat(this.budget.tryAcquire()).isFalse();
	}

}
