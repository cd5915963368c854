package org.crocuspost.lead;

import java.util.List;

import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that a view of the table from before a removal does not restore the removed job.
 */
class RemovedJobsTests {

	private final RemovedJobs removedJobs = new RemovedJobs();

	@Test
	void rowFromBeforeRemovalIsOutOfDate() {
		this.removedJobs.add(List.of("0123456789abcdef"), 40);
		assertThat(this.removedJobs.removedAfter("0123456789abcdef", 12)).isTrue();
		assertThat(this.removedJobs.removedAfter("fedcba9876543210", 12)).isFalse();
	}

	@Test
	void jobSubmittedAgainAfterRemovalIsNotIgnored() {
		this.removedJobs.add(List.of("0123456789abcdef"), 40);
		assertThat(this.removedJobs.removedAfter("0123456789abcdef", 41)).isFalse();
	}

	@Test
	void onlyNewestRemovalsAreKept() {
		for (int job = 0; job < 10_000; job++) {
			this.removedJobs.add(List.of("job-" + job), job);
		}
		assertThat(this.removedJobs.removedAfter("job-9999", 1)).isTrue();
		assertThat(this.removedJobs.removedAfter("job-0", -1)).isFalse();
	}

}
