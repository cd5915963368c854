package org.crocuspost.lead;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * A view of the table from before a removal does not bring a job back.
 */
class RemovedJobsTests {

	private final RemovedJobs removed = new RemovedJobs();

	@Test
	void aRowFromBeforeTheRemovalIsOutOfDate() {
		this.removed.add(List.of("0123456789abcdef"), 40);
		assertThat(this.removed.removedAfter("0123456789abcdef", 12)).isTrue();
		assertThat(this.removed.removedAfter("fedcba9876543210", 12)).isFalse();
	}

	@Test
	void aJobThatIsHandedInAgainCounts() {
		this.removed.add(List.of("0123456789abcdef"), 40);
		assertThat(this.removed.removedAfter("0123456789abcdef", 41)).isFalse();
	}

	@Test
	void theNewestRemovalsAreRemembered() {
		for (int job = 0; job < 10_000; job++) {
			this.removed.add(List.of("job-" + job), job);
		}
		assertThat(this.removed.removedAfter("job-9999", 1)).isTrue();
		assertThat(this.removed.removedAfter("job-0", -1)).isFalse();
	}

}
