package org.crocuspost.dispatch;

import java.time.Duration;
import java.util.List;

import org.crocuspost.dispatch.DispatchFixture.StepBuilder;
import org.crocuspost.job.JobProgress;
import org.crocuspost.job.JobSpecification;
import org.crocuspost.job.JobSubmission;
import org.crocuspost.job.Queue;
import org.crocuspost.job.StepSpecification;
import org.crocuspost.job.TaskProgress;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests the order in which waiting jobs get workers. The estimated run time of a task is
 * one second and the objective of a job with one step three seconds.
 */
class WaitingOrderTests {

	private static final double MEAN_WORK = 10;

	private static final Queue QUEUE = new Queue("queue", "host", "/queue/", "service", 0, 2, 2, Duration.ofSeconds(1),
			false);

	private static JobProgress job(String id, StepSpecification step, int done) {
		JobProgress job = new JobProgress(
				new JobSubmission(id, "queue", 0, new JobSpecification("text", List.of(step), 1, false, 0, 0)));
		job.tasks(0, 0).stream().limit(done).forEach(TaskProgress::complete);
		return job;
	}

	private static JobProgress job(int tasks, int done) {
		return job("job", new StepBuilder().tasks(tasks).milliCores(1_000).build(), done);
	}

	private static WaitingOrder.Rank rank(JobProgress job, double ageSeconds) {
		return WaitingOrder.rank(job, QUEUE, 0, (long) (ageSeconds * 1e9), MEAN_WORK);
	}

	@Test
	void jobThatIsNearlyDonePrecedesNewOnes() {
		assertThat(rank(job(20, 18), 1)).isLessThan(rank(job(20, 0), 0)).isLessThan(rank(job(4, 0), 0));
	}

	@Test
	void jobInTimePrecedesLateOne() {
		assertThat(rank(job(50, 0), 0)).isLessThan(rank(job(1, 0), 4));
	}

	@Test
	void lateJobOfUsePrecedesJobsThatAreTooLate() {
		assertThat(rank(job(50, 0), 5)).isLessThan(rank(job(1, 0), 10));
	}

	@Test
	void longRunningServicePrecedesAllJobs() {
		JobProgress service = job("service", new StepBuilder().tasks(40).service().build(), 0);
		assertThat(rank(service, 100)).isLessThan(rank(job(1, 0), 0));
	}

	/**
	 * A job of four times the mean work must not wait behind four jobs of a mean size as
	 * if it were worth only one of them.
	 */
	@Test
	void valueOfAJobGrowsWithItsWork() {
		assertThat(rank(job(40, 0), 0).order()).isLessThan(4 * rank(job(10, 0), 0).order());
	}

}
