package org.crocuspost.lead;

import java.time.Duration;
import java.time.Instant;
import java.util.ArrayList;
import java.util.List;

import org.crocuspost.rows.MemoryRowStore;
import org.crocuspost.rows.MemoryRowStore.Fault;
import org.crocuspost.rows.RowTransaction;
import org.crocuspost.rows.StoredRow;
import org.crocuspost.time.VirtualTime;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the cleanup of submissions while the store loses answers or executes calls late.
 */
class SubmissionCleanupTests {

	private static final String JOB = "0123456789abcdef";

	private static final String KEY = Tables.JOB_PREFIX + JOB;

	private final VirtualTime time = new VirtualTime(Instant.EPOCH);

	private final MemoryRowStore store = new MemoryRowStore();

	private final List<String> removed = new ArrayList<>();

	private final SubmissionCleanup cleanup = new SubmissionCleanup(this.store, this.time,
			(job, version) -> this.removed.add(job));

	private void submit(String value) {
		this.store.commit(
				RowTransaction.of(List.of(), List.of(new RowTransaction.Write(Tables.SUBMISSIONS, KEY, value))),
				(answer) -> {
				});
		this.cleanup.seen(JOB, row().version());
	}

	private StoredRow row() {
		return this.store.row(Tables.SUBMISSIONS, KEY);
	}

	private void settle() {
		this.time.advance(Duration.ofSeconds(1));
	}

	@Test
	void submissionIsReducedAndThenRemovedDespiteLostAnswers() {
		submit("specification");
		this.store.failNextCommits(Fault.ANSWER_LOST, Fault.REFUSED, Fault.NONE, Fault.REFUSED, Fault.ANSWER_LOST);
		this.cleanup.reduce(List.of(JOB));
		settle();
		assertThat(row().value()).isEqualTo(Tables.ENDED_JOB);
		this.cleanup.remove(List.of(JOB));
		settle();
		assertThat(row().exists()).isFalse();
		assertThat(this.removed).containsExactly(JOB);
		assertThat(this.cleanup.knows(JOB)).isFalse();
	}

	/**
	 * Guards against the loss of an accepted job: a removal that the store executes late
	 * must not remove a submission that was stored after it.
	 */
	@Test
	void removalThatIsExecutedLateKeepsNewSubmission() {
		submit("specification");
		this.store.failNextCommits(Fault.LATE);
		this.cleanup.remove(List.of(JOB));
		settle();
		assertThat(row().exists()).isFalse();
		submit("specification of the next job");
		this.store.applyHeld();
		assertThat(row().value()).isEqualTo("specification of the next job");
	}

	/**
	 * Guards against a former leader that cleans up on an old view.
	 */
	@Test
	void submissionThatHasChangedIsLeftAlone() {
		submit("specification");
		this.store.commit(
				RowTransaction.of(List.of(), List.of(new RowTransaction.Write(Tables.SUBMISSIONS, KEY, "changed"))),
				(answer) -> {
				});
		this.cleanup.remove(List.of(JOB));
		settle();
		assertThat(row().value()).isEqualTo("changed");
		assertThat(this.removed).isEmpty();
	}

	@Test
	void manyJobsOfAllPartitionsAreRemoved() {
		List<String> jobs = new ArrayList<>();
		for (int number = 0; number < 400; number++) {
			String job = String.format("%016x", number * 7919L);
			jobs.add(job);
			this.store.commit(
					RowTransaction.of(List.of(), List
						.of(new RowTransaction.Write(Tables.SUBMISSIONS, Tables.JOB_PREFIX + job, "specification"))),
					(answer) -> this.cleanup.seen(job, answer.get().version()));
		}
		this.cleanup.reduce(jobs);
		this.cleanup.remove(jobs);
		settle();
		assertThat(this.removed).containsExactlyInAnyOrderElementsOf(jobs);
	}

}
