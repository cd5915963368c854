package org.crocuspost.lead;

import java.time.Duration;
import java.time.Instant;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import io.prometheus.metrics.model.registry.PrometheusRegistry;
import io.prometheus.metrics.model.snapshots.GaugeSnapshot;
import org.crocuspost.dispatch.DefaultPlacementPolicy;
import org.crocuspost.dispatch.DispatchSettings;
import org.crocuspost.dispatch.Dispatcher;
import org.crocuspost.dispatch.ImagePressure;
import org.crocuspost.dispatch.StartConditions;
import org.crocuspost.job.JobSpecification;
import org.crocuspost.job.JobState;
import org.crocuspost.job.JobSubmission;
import org.crocuspost.job.JobSummary;
import org.crocuspost.job.StepSpecification;
import org.crocuspost.job.StoredProgress;
import org.crocuspost.job.TaskKey;
import org.crocuspost.job.TaskProgress;
import org.crocuspost.log.RecentEvents;
import org.crocuspost.time.VirtualTime;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests when unavailable long-running tasks are logged and how many a line names.
 */
class UnavailableTaskLogTests {

	private static final String JOB = "0123456789abcdef";

	private final VirtualTime time = new VirtualTime(Instant.EPOCH.plus(Duration.ofHours(1)));

	private final PrometheusRegistry registry = new PrometheusRegistry();

	private final LeaderMetrics metrics = new LeaderMetrics(this.registry);

	private final Dispatcher dispatcher = new Dispatcher(
			new DispatchSettings(Duration.ofSeconds(6), Duration.ofMinutes(3), 1.5),
			new DefaultPlacementPolicy(new ImagePressure()), this.time, new DecisionLog(this.metrics));

	private final UnavailableTaskLog log = new UnavailableTaskLog(this.dispatcher.load(), this.metrics, this.time);

	private final StartConditions conditions = new StartConditions(this.time.nanoTime(), true, Duration.ofMillis(30),
			Duration.ofMillis(200));

	/**
	 * Adds a job whose tasks a former leader has assigned to a host each.
	 */
	private void inheritJob(String id, int tasks) {
		StepSpecification step = new StepSpecification(tasks, 100, 100, 0, Duration.ZERO, List.of(), false, false,
				false, "", "", 0, false, true, "", Duration.ofMillis(100), false, -1);
		Map<TaskKey, String> rows = new HashMap<>();
		for (int index = 0; index < tasks; index++) {
			TaskProgress task = new TaskProgress(new TaskKey(id, 0, 0, index), step);
			task.assign(1, "host-" + index, "worker", 7);
			rows.put(task.key(), task.write());
		}
		this.dispatcher.submitted(
				new JobSubmission(id, "queue", this.time.millis(),
						new JobSpecification("text", List.of(step), 1, false, 0, 0)),
				StoredProgress.of(Optional.of(new JobSummary("queue", JobState.ACTIVE, 0).write()), rows));
	}

	private double gauge(String reason) {
		return this.registry.scrape((name) -> name.equals("crocuspost_unavailable_tasks"))
			.stream()
			.flatMap((metric) -> ((GaugeSnapshot) metric).getDataPoints().stream())
			.filter((point) -> reason.equals(point.getLabels().get("reason")))
			.findFirst()
			.orElseThrow()
			.getValue();
	}

	/**
	 * Guards against a line at each tick, and against a line of any length after the loss
	 * of many hosts.
	 */
	@Test
	void lineIsBoundedAndWrittenAtMostOnceASecond() {
		assertThat(this.log.takeIfDue(this.conditions)).isEmpty();
		this.time.advance(Duration.ofSeconds(1));
		inheritJob(JOB, 500);
		UnavailableTaskLog.Summary summary = this.log.takeIfDue(this.conditions).orElseThrow();
		assertThat(summary.tasks()).isEqualTo(500);
		assertThat(summary.reasons()).isEqualTo(Map.of("unconfirmed-no-report", 500L));
		assertThat(summary.named()).hasSize(UnavailableTaskLog.MAXIMUM_LISTED_TASKS);
		assertThat(gauge("unconfirmed-no-report")).isEqualTo(500);
		assertThat(gauge("no-room")).isZero();
		this.time.advance(Duration.ofMillis(999));
		assertThat(this.log.takeIfDue(this.conditions)).isEmpty();
		this.time.advance(Duration.ofMillis(1));
		assertThat(this.log.takeIfDue(this.conditions)).isPresent();
	}

	/**
	 * Guards against tasks that no line names because others are down for longer.
	 */
	@Test
	void consecutiveLinesNameAllTasks() {
		inheritJob(JOB, 30);
		inheritJob("fedcba9876543210", 6);
		Set<String> named = new HashSet<>();
		for (int line = 0; line < 3; line++) {
			this.log.takeIfDue(this.conditions)
				.orElseThrow()
				.named()
				.forEach((text) -> named.add(text.substring(0, text.indexOf(' '))));
			this.time.advance(Duration.ofSeconds(1));
		}
		assertThat(named).hasSize(36);
	}

	@Test
	void taskIsDescribedWithItsRunAndHostAndTheAgeOfTheInformation() {
		inheritJob(JOB, 1);
		this.time.advance(Duration.ofSeconds(3));
		assertThat(this.log.takeIfDue(this.conditions).orElseThrow().named())
			.containsExactly(JOB + ".0.0.0 run 1 on host-0 unconfirmed-no-report for 3000 ms, evidence 3000 ms old");
	}

	/**
	 * Guards against a log that does not tell when the tasks were at work again, and
	 * against lines while nothing is unavailable.
	 */
	@Test
	void oneLineTellsThatNoTaskIsUnavailable() {
		inheritJob(JOB, 1);
		assertThat(this.log.takeIfDue(this.conditions)).isPresent();
		this.dispatcher.cancelled(JOB);
		this.time.advance(Duration.ofSeconds(1));
		assertThat(this.log.takeIfDue(this.conditions)).map(UnavailableTaskLog.Summary::tasks).contains(0);
		assertThat(gauge("unconfirmed-no-report")).isZero();
		this.time.advance(Duration.ofSeconds(1));
		assertThat(this.log.takeIfDue(this.conditions)).isEmpty();
	}

	/**
	 * Guards against a former leader that reports unavailable tasks for ever.
	 */
	@Test
	void metricIsZeroAfterTheTerm() {
		inheritJob(JOB, 2);
		this.log.writeIfDue(this.conditions);
		assertThat(gauge("unconfirmed-no-report")).isEqualTo(2);
		this.log.close();
		assertThat(gauge("unconfirmed-no-report")).isZero();
	}

	@Test
	void lineHasTheAgesOfThePermissionToStart() {
		inheritJob("cccccccccccccccc", 1);
		this.log.writeIfDue(this.conditions);
		Map<String, String> line = RecentEvents.after(0)
			.stream()
			.map(RecentEvents.Line::fields)
			.filter((fields) -> fields.getOrDefault("named", "").contains("cccccccccccccccc"))
			.findFirst()
			.orElseThrow();
		assertThat(line).containsEntry("event", "tasks-unavailable")
			.containsEntry("tasks", "1")
			.containsEntry("reasons", "{unconfirmed-no-report=1}")
			.containsEntry("confirmationAgeMillis", "30")
			.containsEntry("operatorViewAgeMillis", "200");
	}

	/**
	 * Guards against silence about the hosts for whose lease a new leader waits.
	 */
	@Test
	void hostsWithoutReportAreLoggedSomeTimeAfterTheTakeover() {
		inheritJob("dddddddddddddddd", 20);
		InheritedRunsLog inherited = new InheritedRunsLog(this.dispatcher.load());
		assertThat(inherited.runs()).isEqualTo(20);
		assertThat(inherited.hosts()).isEqualTo(20);
		inherited.schedule(4711, this.time);
		this.time.advance(InheritedRunsLog.DELAY.minusMillis(1));
		assertThat(hostsLines()).isEmpty();
		this.time.advance(Duration.ofMillis(1));
		assertThat(hostsLines()).hasSize(1);
		Map<String, String> line = hostsLines().get(0);
		assertThat(line).containsEntry("hostsWithInheritedRuns", "20")
			.containsEntry("withoutReport", "20")
			.containsEntry("runsWithoutReport", "20");
		assertThat(line.get("hosts").split(", ")).hasSize(InheritedRunsLog.MAXIMUM_LISTED_HOSTS);
	}

	private static List<Map<String, String>> hostsLines() {
		return RecentEvents.after(0)
			.stream()
			.map(RecentEvents.Line::fields)
			.filter((fields) -> "inherited-hosts-checked".equals(fields.get("event"))
					&& "4711".equals(fields.get("epoch")))
			.toList();
	}

}
