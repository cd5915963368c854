package org.crocuspost.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.concurrent.TimeUnit;

import org.crocuspost.job.JobProgress;
import org.crocuspost.job.JobSpecification;
import org.crocuspost.job.TaskProgress;
import org.crocuspost.job.TaskStatus;

/**
 * Lists the batch jobs of which nothing is known to run although the turn of a task has
 * come, with the reasons. Changes nothing in the dispatcher.
 *
 * <p>
 * Example: a task could run, its room is there twice over, and nothing of its job runs.
 * Its run may be assigned to a host that does not run it, or each worker with room may be
 * excluded. Jobs of which a run was listed lately are passed over, and the workers are
 * judged once for the tasks of a step that need the same, so that thousands of waiting
 * tasks cost little.
 */
final class UnavailableJobSurvey {

	/**
	 * Time without a run from which on a job is listed. The platform requires of a job
	 * whose task could run that something of it runs within 3 s.
	 */
	static final Duration MINIMUM_DURATION = Duration.ofSeconds(3);

	private static final int SUSPICION_LEVELS = 3;

	private final Dispatcher dispatcher;

	private final StartConditions conditions;

	private final long nowNanos;

	private final List<UnavailableJob> found = new ArrayList<>();

	UnavailableJobSurvey(Dispatcher dispatcher, StartConditions conditions, long nowNanos) {
		this.dispatcher = dispatcher;
		this.conditions = conditions;
		this.nowNanos = nowNanos;
	}

	List<UnavailableJob> survey() {
		List<TrackedJob> jobs = new ArrayList<>();
		for (TrackedJob tracked : this.dispatcher.trackedJobs()) {
			if (!tracked.job().state().terminal() && longEnough(withoutRunSince(tracked))
					&& !tracked.job().submission().specification().longRunning()) {
				jobs.add(tracked);
			}
		}
		if (!jobs.isEmpty()) {
			UnavailabilityCauses causes = new UnavailabilityCauses(this.dispatcher, this.conditions, this.nowNanos);
			jobs.forEach((tracked) -> addJob(tracked, causes));
		}
		return List.copyOf(this.found);
	}

	private long withoutRunSince(TrackedJob tracked) {
		return Math.max(tracked.lastListedNanos(), Math.max(tracked.acceptedNanos(), this.conditions.takeoverNanos()));
	}

	private boolean longEnough(long sinceNanos) {
		return this.nowNanos - sinceNanos >= MINIMUM_DURATION.toNanos();
	}

	private void addJob(TrackedJob tracked, UnavailabilityCauses causes) {
		JobProgress job = tracked.job();
		JobSpecification specification = job.submission().specification();
		long nowMillis = this.dispatcher.clock().millis();
		Map<UnavailabilityReason, Entry> entries = new EnumMap<>(UnavailabilityReason.class);
		for (int occurrence = 0; occurrence < job.occurrences(); occurrence++) {
			long sinceDueMillis = nowMillis - specification.dueMillis(occurrence);
			if (sinceDueMillis < MINIMUM_DURATION.toMillis()) {
				break;
			}
			long since = Math.max(withoutRunSince(tracked),
					this.nowNanos - TimeUnit.MILLISECONDS.toNanos(sinceDueMillis));
			for (int step = 0; step < specification.steps().size(); step++) {
				if (job.predecessorsDone(occurrence, step)) {
					addStep(tracked, job.tasks(occurrence, step), since, causes, entries);
				}
			}
		}
		entries.forEach((reason, entry) -> this.found.add(describe(tracked, entry)));
	}

	private void addStep(TrackedJob tracked, List<TaskProgress> tasks, long sinceNanos, UnavailabilityCauses causes,
			Map<UnavailabilityReason, Entry> entries) {
		UnavailabilityCauses.Cause[] waiting = new UnavailabilityCauses.Cause[SUSPICION_LEVELS];
		for (TaskProgress task : tasks) {
			if (task.status() == TaskStatus.DONE) {
				continue;
			}
			UnavailabilityCauses.Cause cause;
			if (task.status() == TaskStatus.PLACED) {
				cause = causes.assigned(task).orElseGet(() -> causes.listedEarlier(task, tracked.lastListedNanos()));
			}
			else {
				cause = causes.unassignedRun(task.key()).orElse(null);
				if (cause == null) {
					int level = !Suspicion.suspected(task) ? 0 : Suspicion.requiresIsolation(task) ? 2 : 1;
					if (waiting[level] == null) {
						waiting[level] = causes.waiting(tracked, task);
					}
					cause = waiting[level];
				}
			}
			int failedStarts = this.dispatcher.failedStarts()
				.find(task.key())
				.map(FailedStarts.FailedStart::number)
				.orElse(0);
			Entry entry = entries.get(cause.reason());
			if (entry == null) {
				entry = new Entry(task, cause, sinceNanos, failedStarts);
				entries.put(cause.reason(), entry);
			}
			entry.add(task, cause, failedStarts);
		}
	}

	private UnavailableJob describe(TrackedJob tracked, Entry entry) {
		TaskProgress task = entry.task;
		UnavailabilityCauses.Cause cause = entry.cause;
		JobProgress job = tracked.job();
		Optional<UnavailableJob.FailedStart> failed = this.dispatcher.failedStarts()
			.find(task.key())
			.map((start) -> new UnavailableJob.FailedStart(start.number(), start.host(), start.reason(),
					since(start.sinceNanos())));
		return new UnavailableJob(job.submission().queue(), cause.reason(), entry.tasks, task.key(), task.run(),
				task.step(), task.crashes(), task.crashedRuns(), since(entry.sinceNanos), tracked.age(this.nowNanos),
				since(cause.sinceNanos()), since(cause.evidenceNanos()),
				Optional.ofNullable(cause.host()).map(this::describe), Optional.ofNullable(cause.workers()),
				WaitingOrder.label(tracked.rank()), tracked.deferred(), failed);
	}

	private UnavailableJob.Host describe(HostState host) {
		return new UnavailableJob.Host(host.name(), host.connected(), host.workerResponds(),
				host.worker().getId().isEmpty() ? Optional.empty() : Optional.of(since(host.reportedNanos())),
				host.leaseStarted() ? Optional.of(since(host.lastExtensionNanos())) : Optional.empty());
	}

	private Duration since(long nanos) {
		return Duration.ofNanos(Math.max(0, this.nowNanos - nanos));
	}

	/**
	 * The tasks of a job with one reason. Mutable.
	 */
	private static final class Entry {

		private final long sinceNanos;

		private TaskProgress task;

		private UnavailabilityCauses.Cause cause;

		private int failedStarts;

		private int tasks;

		private Entry(TaskProgress task, UnavailabilityCauses.Cause cause, long sinceNanos, int failedStarts) {
			this.task = task;
			this.cause = cause;
			this.sinceNanos = sinceNanos;
			this.failedStarts = failedStarts;
		}

		private void add(TaskProgress next, UnavailabilityCauses.Cause nextCause, int nextFailedStarts) {
			this.tasks++;
			if (nextFailedStarts > this.failedStarts) {
				this.task = next;
				this.cause = nextCause;
				this.failedStarts = nextFailedStarts;
			}
		}

	}

}
