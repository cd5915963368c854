package org.crocuspost.lead;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalLong;
import java.util.stream.Collectors;

import org.crocuspost.dispatch.LoadMeasurements;
import org.crocuspost.dispatch.StartConditions;
import org.crocuspost.dispatch.UnavailabilityReason;
import org.crocuspost.dispatch.UnavailableJob;
import org.crocuspost.dispatch.WorkerCondition;
import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;
import org.crocuspost.time.Clock;

/**
 * Logs the batch jobs of which nothing is known to run although the turn of a task has
 * come, with what the leader waits for. There is a line for each job and reason, which is
 * repeated while the reason holds. Jobs that were not logged with their reason come
 * first, and of these the ones that do not merely wait for room.
 */
final class UnavailableJobLog {

	private static final Duration INTERVAL = Duration.ofSeconds(1);

	/**
	 * Time after which a line is repeated.
	 */
	static final Duration REPETITION_INTERVAL = Duration.ofSeconds(10);

	/**
	 * Maximum number of lines a second. In an overload, thousands of jobs wait.
	 */
	static final int MAXIMUM_LINES = 10;

	private final LoadMeasurements load;

	private final LeaderMetrics metrics;

	private final Clock clock;

	private OptionalLong surveyedNanos = OptionalLong.empty();

	private Map<JobReason, Long> logged = new HashMap<>();

	UnavailableJobLog(LoadMeasurements load, LeaderMetrics metrics, Clock clock) {
		this.load = load;
		this.metrics = metrics;
		this.clock = clock;
	}

	/**
	 * Writes the lines that are due, and sets the metric, if the interval since the
	 * previous survey has passed.
	 * @param conditions what the leader knows about its permission to start tasks
	 */
	void writeIfDue(StartConditions conditions) {
		long now = this.clock.nanoTime();
		if (this.surveyedNanos.isPresent() && now - this.surveyedNanos.getAsLong() < INTERVAL.toNanos()) {
			return;
		}
		this.surveyedNanos = OptionalLong.of(now);
		List<UnavailableJob> jobs = this.load.unavailableJobs(conditions);
		Map<UnavailabilityReason, Long> counts = jobs.stream()
			.collect(Collectors.groupingBy(UnavailableJob::reason, Collectors.counting()));
		for (UnavailabilityReason reason : UnavailabilityReason.values()) {
			this.metrics.unavailableJobs(reason, counts.getOrDefault(reason, 0L));
		}
		List<UnavailableJob> due = takeDue(jobs, now);
		int written = Math.min(due.size(), MAXIMUM_LINES);
		for (UnavailableJob job : due.subList(0, written)) {
			EventLog.info(LeadEvent.JOB_UNAVAILABLE,
					fields(job, conditions, jobs.size(), due.size() - written).toArray(Field[]::new));
		}
	}

	private List<UnavailableJob> takeDue(List<UnavailableJob> jobs, long now) {
		Map<JobReason, Long> remembered = new HashMap<>();
		List<UnavailableJob> due = new ArrayList<>();
		for (UnavailableJob job : jobs) {
			Long last = this.logged.get(JobReason.of(job));
			if (last != null) {
				remembered.put(JobReason.of(job), last);
			}
			if (last == null || now - last >= REPETITION_INTERVAL.toNanos()) {
				due.add(job);
			}
		}
		due.sort(Comparator.comparingLong((UnavailableJob job) -> remembered.getOrDefault(JobReason.of(job), -1L))
			.thenComparing((job) -> job.reason() == UnavailabilityReason.NO_ROOM)
			.thenComparing(UnavailableJob::duration, Comparator.reverseOrder()));
		due.stream().limit(MAXIMUM_LINES).forEach((job) -> remembered.put(JobReason.of(job), now));
		this.logged = remembered;
		return due;
	}

	private List<Field> fields(UnavailableJob job, StartConditions conditions, int unavailable, int omitted) {
		List<Field> fields = new ArrayList<>(List.of(Field.of("job", job.task().job()), Field.of("queue", job.queue()),
				Field.of("reason", job.reason().label()), Field.of("tasks", job.tasks()), Field.of("task", job.task()),
				Field.of("run", job.run()), Field.of("withoutRunMillis", job.duration().toMillis()),
				Field.of("ageMillis", job.age().toMillis()), Field.of("reasonMillis", job.reasonDuration().toMillis()),
				Field.of("evidenceAgeMillis", job.evidenceAge().toMillis()), Field.of("crashes", job.crashes()),
				Field.of("crashedRuns", job.crashedRuns()), Field.of("rank", job.rank()),
				Field.of("deferred", job.deferred()),
				Field.of("failedStarts", job.failedStart().map(UnavailableJob.FailedStart::number).orElse(0))));
		job.failedStart()
			.ifPresent((start) -> fields.addAll(
					List.of(Field.of("failedStartHost", start.host()), Field.of("failedStartReason", start.reason()),
							Field.of("failedStartAgeMillis", start.age().toMillis()))));
		job.host()
			.ifPresent((host) -> fields.addAll(
					List.of(Field.of("host", host.name()), Field.of("reasonMillis", job.reasonDuration().toMillis()),
							Field.of("connected", host.connected()), Field.of("workerResponds", host.workerResponds()),
							Field.of("reportAgeMillis", host.reportAge().map(Duration::toMillis).orElse(-1L)),
							Field.of("leaseAgeMillis", host.leaseAge().map(Duration::toMillis).orElse(-1L)))));
		job.workers().ifPresent((workers) -> fields.addAll(workers(job, workers)));
		fields.addAll(List.of(Field.of("confirmationAgeMillis", conditions.confirmationAge().toMillis()),
				Field.of("operatorViewAgeMillis", conditions.operatorViewAge().toMillis()),
				Field.of("sincePassMillis", this.load.sinceLastPass().toMillis()),
				Field.of("unavailableJobs", unavailable), Field.of("omitted", omitted)));
		return fields;
	}

	private static List<Field> workers(UnavailableJob job, UnavailableJob.Workers workers) {
		Map<String, Integer> counts = new LinkedHashMap<>();
		for (WorkerCondition condition : WorkerCondition.values()) {
			if (workers.conditions().containsKey(condition)) {
				counts.put(condition.label(), workers.conditions().get(condition));
			}
		}
		return List.of(Field.of("workers", counts), Field.of("workersWithRoom", workers.withRoom()),
				Field.of("filler", job.step().filler()), Field.of("milliCores", job.step().milliCores()),
				Field.of("memoryMegabytes", job.step().memoryMegabytes()),
				Field.of("accelerators", job.step().accelerators()),
				Field.of("mostFreeMilliCores", workers.mostFreeMilliCores()),
				Field.of("mostFreeMemoryMegabytes", workers.mostFreeMemoryMegabytes()),
				Field.of("spareCapacity", workers.spareCapacity()));
	}

	/**
	 * Sets the metric to zero at the end of the term.
	 */
	void close() {
		for (UnavailabilityReason reason : UnavailabilityReason.values()) {
			this.metrics.unavailableJobs(reason, 0);
		}
	}

	private record JobReason(String job, UnavailabilityReason reason) {

		private static JobReason of(UnavailableJob job) {
			return new JobReason(job.task().job(), job.reason());
		}

	}

}
