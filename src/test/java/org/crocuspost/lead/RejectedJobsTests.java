package org.crocuspost.lead;

import java.time.Duration;
import java.time.Instant;
import java.util.List;

import org.crocuspost.rows.MemoryRowStore;
import org.crocuspost.rows.MemoryRowStore.Fault;
import org.crocuspost.rows.RowTransaction;
import org.crocuspost.time.VirtualTime;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests that the marks of rejected jobs are removed, and never a job that its caller has
 * submitted again.
 */
class RejectedJobsTests {

	private static final Duration RETENTION = Duration.ofMinutes(2);

	private final VirtualTime time = new VirtualTime(Instant.EPOCH);

	private final MemoryRowStore store = new MemoryRowStore();

	private final RejectedJobs jobs = new RejectedJobs(this.store, RETENTION, this.time);

	private void write(String key, String value) {
		this.store.commit(
				RowTransaction.of(List.of(), List.of(new RowTransaction.Write(Tables.SUBMISSIONS, key, value))),
				(answer) -> {
				});
	}

	private void reject(String key) {
		write(key, new RejectionMark(0).write());
		this.jobs.rejected(this.store.row(Tables.SUBMISSIONS, key));
	}

	private boolean exists(String key) {
		return this.store.row(Tables.SUBMISSIONS, key).exists();
	}

	/**
	 * The leader has not read yet that the caller has submitted one of the jobs again.
	 */
	@Test
	void removesOldMarksButNoJobThatReplacedOne() {
		reject("job/a");
		reject("job/b");
		write("job/b", "a job");
		this.time.advance(RETENTION.minusMillis(1));
		this.jobs.removeIfDue();
		assertThat(exists("job/a")).isTrue();
		for (int second = 0; second < 3; second++) {
			this.time.advance(Duration.ofSeconds(1));
			this.jobs.removeIfDue();
		}
		assertThat(exists("job/a")).isFalse();
		assertThat(exists("job/b")).isTrue();
		assertThat(this.jobs.size()).isZero();
	}

	/**
	 * The rows of the jobs are in several partitions, which one transaction must not
	 * span.
	 */
	@Test
	void removesMarksOfAllPartitionsAtOnce() {
		for (int job = 0; job < 100; job++) {
			reject("job/%016x".formatted(job));
		}
		int before = this.store.commits();
		this.time.advance(RETENTION);
		this.jobs.removeIfDue();
		assertThat(this.jobs.size()).isZero();
		assertThat(this.store.commits() - before).isEqualTo(Tables.SUBMISSION_PARTITIONS);
	}

	/**
	 * The removal is executed without an answer, and the job returns and is rejected
	 * again. Guards against a mark that is forgotten and stays for ever.
	 */
	@Test
	void markThatIsWrittenAgainDuringARemovalIsRemovedLater() {
		reject("job/a");
		this.time.advance(RETENTION);
		this.store.setFault(Fault.ANSWER_LOST);
		this.jobs.removeIfDue();
		this.store.setFault(Fault.NONE);
		assertThat(exists("job/a")).isFalse();
		reject("job/a");
		this.time.advance(RETENTION);
		this.jobs.removeIfDue();
		assertThat(exists("job/a")).isFalse();
		assertThat(this.jobs.size()).isZero();
	}

	@Test
	void removalThatIsCarriedOutLateDoesNotRemoveAJob() {
		reject("job/a");
		this.time.advance(RETENTION);
		this.store.setFault(Fault.LATE);
		this.jobs.removeIfDue();
		this.store.setFault(Fault.NONE);
		write("job/a", "a job");
		this.store.applyHeld();
		assertThat(this.store.row(Tables.SUBMISSIONS, "job/a").value()).isEqualTo("a job");
	}

}
