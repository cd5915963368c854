package org.crocuspost.lead;

import java.time.Duration;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.HistogramSnapshot;
import org.crocuspost.dispatch.Evidence;
import org.crocuspost.dispatch.EvidenceBasis;
import org.crocuspost.dispatch.JobStart;
import org.crocuspost.dispatch.RegainedTask;
import org.crocuspost.job.JobProgress;
import org.crocuspost.job.JobSpecification;
import org.crocuspost.job.JobSubmission;
import org.crocuspost.job.StepSpecification;
import org.crocuspost.job.TaskKey;
import org.crocuspost.job.TaskProgress;
import org.crocuspost.log.RecentEvents;
import org.junit.jupiter.api.Test;
import org.junit.jupiter.params.ParameterizedTest;
import org.junit.jupiter.params.provider.CsvSource;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests what the log and the metrics tell of the start of a job.
 */
class DecisionLogTests {

	private final PrometheusRegistry registry = new PrometheusRegistry();

	private final DecisionLog log = new DecisionLog(new LeaderMetrics(this.registry));

	private Map<String, String> start(String id, Optional<Duration> sinceAssigned) {
		StepSpecification step = new StepSpecification(1, 100, 100, 0, Duration.ZERO, List.of(), false, false, false,
				"", "", 0, false, false, "", Duration.ZERO, false, -1);
		JobProgress job = new JobProgress(
				new JobSubmission(id, "queue", 0, new JobSpecification("text", List.of(step), 1, false, 0, 0)));
		this.log.jobStarted(job, new JobStart(new TaskKey(id, 0, 0, 0), 2, "host", Duration.ofMillis(4_000),
				sinceAssigned, new Evidence("life", Duration.ofMillis(40))));
		return firstLine(id);
	}

	private static Map<String, String> firstLine(String job) {
		return RecentEvents.after(0)
			.stream()
			.map(RecentEvents.Line::fields)
			.filter((fields) -> job.equals(fields.get("job")))
			.findFirst()
			.orElseThrow();
	}

	private List<Double> measuredSeconds() {
		return this.registry.scrape((name) -> name.equals("crocuspost_job_start_seconds"))
			.stream()
			.flatMap((metric) -> ((HistogramSnapshot) metric).getDataPoints().stream())
			.filter((point) -> point.getCount() > 0)
			.map((point) -> point.getSum() / point.getCount())
			.toList();
	}

	@Test
	void startIsLoggedWithItsTimes() {
		assertThat(start("start-with-assignment", Optional.of(Duration.ofMillis(2_500))))
			.containsEntry("event", "job-started")
			.containsEntry("queue", "queue")
			.containsEntry("task", new TaskKey("start-with-assignment", 0, 0, 0).toString())
			.containsEntry("run", "2")
			.containsEntry("host", "host")
			.containsEntry("ageMillis", "4000")
			.containsEntry("sinceAssignedMillis", "2500")
			.containsEntry("evidenceAgeMillis", "40");
		assertThat(measuredSeconds()).containsExactly(2.5);
	}

	/**
	 * Guards against an unknown time that is measured as a time of zero.
	 */
	@Test
	void unknownTimeOfAssignmentIsNotMeasured() {
		assertThat(start("start-without-assignment", Optional.empty())).containsEntry("sinceAssignedMillis", "-1");
		assertThat(measuredSeconds()).isEmpty();
	}

	/**
	 * Guards against the time of an inherited task, which a new leader knows in part
	 * only, among the whole times.
	 */
	@ParameterizedTest
	@CsvSource({ "false, 6500, 7.0", "true, 19000, 20.0" })
	void timeUntilATaskRunsAgainIsMeasured(boolean inherited, long millis, double bound) {
		StepSpecification step = new StepSpecification(1, 100, 100, 0, Duration.ZERO, List.of(), false, false, false,
				"", "", 0, false, true, "", Duration.ZERO, false, -1);
		String id = "regained-" + inherited;
		TaskProgress task = new TaskProgress(new TaskKey(id, 0, 0, 0), step);
		task.assign(2, "host", "worker", 1);
		this.log.taskRegained(task, new RegainedTask("host", Duration.ofMillis(millis), inherited,
				new Evidence("life", Duration.ofMillis(40))));
		assertThat(firstLine(id)).containsEntry("event", "task-regained")
			.containsEntry("run", "2")
			.containsEntry("unavailableMillis", String.valueOf(millis))
			.containsEntry("inherited", String.valueOf(inherited))
			.containsEntry("evidenceAgeMillis", "40");
		HistogramSnapshot.HistogramDataPointSnapshot point = this.registry
			.scrape((name) -> name.equals("crocuspost_task_unavailable_seconds"))
			.stream()
			.flatMap((metric) -> ((HistogramSnapshot) metric).getDataPoints().stream())
			.findFirst()
			.orElseThrow();
		assertThat(point.getLabels().get("inherited")).isEqualTo(String.valueOf(inherited));
		assertThat(point.getClassicBuckets().stream().filter((bucket) -> bucket.getCount() > 0))
			.extracting((bucket) -> bucket.getUpperBound())
			.containsExactly(bound);
	}

	/**
	 * Guards against a lost run of which the line does not tell for what the leader
	 * waited.
	 */
	@Test
	void lostRunIsLoggedWithTheBasisOfTheDecision() {
		StepSpecification step = new StepSpecification(1, 100, 100, 0, Duration.ZERO, List.of(), false, false, false,
				"", "", 0, false, true, "", Duration.ZERO, false, -1);
		this.log.runLost(new TaskProgress(new TaskKey("lost-with-basis", 0, 0, 0), step), 1, "host", "lease lapsed",
				new Evidence("", Duration.ofMillis(6_500), EvidenceBasis.FIRST_REPORT), Duration.ZERO);
		assertThat(firstLine("lost-with-basis")).containsEntry("event", "run-lost")
			.containsEntry("basis", "first-report")
			.containsEntry("evidenceAgeMillis", "6500");
	}

	/**
	 * Guards against an end that is acknowledged without a trace although it was not
	 * applied.
	 */
	@Test
	void ignoredEndIsLoggedWithItsReason() {
		this.log.endIgnored(new TaskKey("job-of-ignored-end", 0, 0, 3), 1, "host", "done", "the task is at run 0");
		assertThat(firstLine("job-of-ignored-end")).containsEntry("event", "end-ignored")
			.containsEntry("task", "job-of-ignored-end.0.0.3")
			.containsEntry("run", "1")
			.containsEntry("host", "host")
			.containsEntry("outcome", "done")
			.containsEntry("reason", "the task is at run 0");
	}

}
