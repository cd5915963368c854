package org.crocuspost.lead;

import java.time.Duration;
import java.time.Instant;
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
import org.crocuspost.dispatch.ReportProcessor;
import org.crocuspost.dispatch.StartConditions;
import org.crocuspost.job.JobSpecification;
import org.crocuspost.job.JobSubmission;
import org.crocuspost.job.Queue;
import org.crocuspost.job.QueueConfiguration;
import org.crocuspost.job.StepSpecification;
import org.crocuspost.log.RecentEvents;
import org.crocuspost.time.VirtualTime;
import org.junit.jupiter.api.Test;

import static org.assertj.core.api.Assertions.assertThat;

/**
 * Tests which batch jobs without runs are logged, how often.
 */
class UnavailableJobLogTests {

	private final VirtualTime time = new VirtualTime(Instant.EPOCH.plus(Duration.ofHours(1)));

	private final PrometheusRegistry registry = new PrometheusRegistry();

	private final LeaderMetrics metrics = new LeaderMetrics(this.registry);

	private final Dispatcher dispatcher = new Dispatcher(
			new DispatchSettings(Duration.ofSeconds(6), Duration.ofMinutes(3), 1.5),
			new DefaultPlacementPolicy(new ImagePressure()), this.time, new DecisionLog(this.metrics));

	private final UnavailableJobLog log = new UnavailableJobLog(this.dispatcher.load(), this.metrics, this.time);

	private final StartConditions conditions = new StartConditions(this.time.nanoTime(), true, Duration.ofMillis(30),
			Duration.ofMillis(200));

	private long readUntil = lastLine();

	private static long lastLine() {
		return RecentEvents.after(0).stream().mapToLong(RecentEvents.Line::sequence).max().orElse(0);
	}

	private void connectWorker() {
		this.dispatcher.configure(new QueueConfiguration(1,
				List.of(new Queue("queue", "host", "/queue/", "service", 0, 2, 2, Duration.ofSeconds(1), false)),
				List.of(), 1_000));
		new ReportProcessor(this.dispatcher, new ImagePressure()).reported(MalformedRowTests.report(), true);
	}

	private void submit(String id, int milliCores) {
		StepSpecification step = new StepSpecification(3, milliCores, 100, 0, Duration.ZERO, List.of(), false, false,
				false, "", "", 0, false, false, "", Duration.ZERO, false, -1);
		this.dispatcher.submitted(new JobSubmission(id, "queue", this.time.millis(),
				new JobSpecification("text", List.of(step), 1, false, 0, 0)), Optional.empty());
	}

	/**
	 * Returns the lines that are written now.
	 */
	private List<Map<String, String>> write() {
		this.log.writeIfDue(this.conditions);
		List<Map<String, String>> lines = RecentEvents.after(this.readUntil)
			.stream()
			.map(RecentEvents.Line::fields)
			.filter((fields) -> "job-unavailable".equals(fields.get("event")))
			.toList();
		this.readUntil = lastLine();
		return lines;
	}

	private double gauge(String reason) {
		return this.registry.scrape((name) -> name.equals("crocuspost_unavailable_jobs"))
			.stream()
			.flatMap((metric) -> ((GaugeSnapshot) metric).getDataPoints().stream())
			.filter((point) -> reason.equals(point.getLabels().get("reason")))
			.findFirst()
			.orElseThrow()
			.getValue();
	}

	/**
	 * Guards against a log that grows with each waiting job in an overload, and against a
	 * job that no line names because others wait for longer.
	 */
	@Test
	void linesAreBoundedAndNameEachJobInTurn() {
		for (int number = 0; number < 25; number++) {
			submit("job-%02d".formatted(number), 100);
		}
		this.time.advance(Duration.ofSeconds(3));
		Set<String> named = new HashSet<>();
		List<Map<String, String>> first = write();
		assertThat(first).hasSize(UnavailableJobLog.MAXIMUM_LINES)
			.allSatisfy((fields) -> assertThat(fields).containsEntry("omitted", "15")
				.containsEntry("unavailableJobs", "25")
				.containsEntry("reason", "no-queue"));
		first.forEach((fields) -> named.add(fields.get("job")));
		assertThat(gauge("no-queue")).isEqualTo(25);
		this.time.advance(Duration.ofMillis(999));
		assertThat(write()).isEmpty();
		for (int line = 0; line < 2; line++) {
			this.time.advance(Duration.ofSeconds(1));
			write().forEach((fields) -> named.add(fields.get("job")));
		}
		assertThat(named).hasSize(25);
		this.time.advance(Duration.ofSeconds(1));
		assertThat(write()).isEmpty();
		this.time.advance(UnavailableJobLog.REPETITION_INTERVAL);
		assertThat(write()).hasSize(UnavailableJobLog.MAXIMUM_LINES);
		this.log.close();
		assertThat(gauge("no-queue")).isZero();
	}

	/**
	 * Guards against a job that should run and gets no line because many wait for room.
	 */
	@Test
	void jobForWhichThereIsRoomComesFirstWithTheConditionsOfTheWorkers() {
		connectWorker();
		for (int number = 0; number < 25; number++) {
			submit("large-%02d".formatted(number), 20_000);
		}
		this.time.advance(Duration.ofMillis(500));
		submit("small", 5_600);
		this.time.advance(Duration.ofSeconds(3));
		assertThat(write().get(0)).containsEntry("job", "small")
			.containsEntry("task", "small.0.0.0")
			.containsEntry("tasks", "3")
			.containsEntry("reason", "undecided")
			.containsEntry("withoutRunMillis", "3000")
			.containsEntry("evidenceAgeMillis", "3500")
			.containsEntry("workers", "{suited=1}")
			.containsEntry("workersWithRoom", "1")
			.containsEntry("mostFreeMilliCores", "16000")
			.containsEntry("failedStarts", "0")
			.containsEntry("confirmationAgeMillis", "30")
			.containsEntry("operatorViewAgeMillis", "200")
			.containsEntry("sincePassMillis", "3500");
		assertThat(gauge("no-room")).isEqualTo(25);
	}

}
