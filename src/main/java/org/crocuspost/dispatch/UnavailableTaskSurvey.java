package org.crocuspost.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.List;
import java.util.Optional;

import org.crocuspost.job.JobProgress;
import org.crocuspost.job.StepSpecification;
import org.crocuspost.job.TaskProgress;
import org.crocuspost.job.TaskStatus;

/**
 * Lists the tasks of long-running steps that are not known to run, with the reason.
 * Changes nothing in the dispatcher.
 *
 * <p>
 * The load pattern is a power loss: hosts go away with their workers, a new leader takes
 * over, and tasks stay down for longer than they should. Example: 18 s after a takeover a
 * task is not at work. Its run may not have been declared lost yet, because its host
 * never reported to this leader or reports a silent worker, or it was lost early and its
 * task waits for a place. The state of the task alone does not tell these apart: a task
 * whose host is gone and one that runs are both assigned.
 */
final class UnavailableTaskSurvey {

	/**
	 * Time without an answer of the worker before a listed run counts as unconfirmed.
	 */
	static final Duration MINIMUM_SILENCE = UnavailabilityCauses.MINIMUM_SILENCE;

	private final Dispatcher dispatcher;

	private final StartConditions conditions;

	private final long nowNanos;

	private final List<UnavailableTask> found = new ArrayList<>();

	UnavailableTaskSurvey(Dispatcher dispatcher, StartConditions conditions, long nowNanos) {
		this.dispatcher = dispatcher;
		this.conditions = conditions;
		this.nowNanos = nowNanos;
	}

	List<UnavailableTask> survey() {
		List<TrackedJob> jobs = this.dispatcher.trackedJobs()
			.stream()
			.filter((tracked) -> !tracked.job().state().terminal() && tracked.everAssigned()
					&& tracked.job().submission().specification().longRunning())
			.toList();
		if (jobs.isEmpty()) {
			return List.of();
		}
		UnavailabilityCauses causes = new UnavailabilityCauses(this.dispatcher, this.conditions, this.nowNanos);
		jobs.forEach((tracked) -> addJob(tracked, causes));
		return List.copyOf(this.found);
	}

	private void addJob(TrackedJob tracked, UnavailabilityCauses causes) {
		JobProgress job = tracked.job();
		List<StepSpecification> steps = job.submission().specification().steps();
		long nowMillis = this.dispatcher.clock().millis();
		for (int occurrence = 0; occurrence < job.occurrences(); occurrence++) {
			if (job.submission().specification().dueMillis(occurrence) > nowMillis) {
				break;
			}
			for (int step = 0; step < steps.size(); step++) {
				if (steps.get(step).lasting() && !steps.get(step).filler() && job.predecessorsDone(occurrence, step)) {
					addStep(tracked, job.tasks(occurrence, step), causes);
				}
			}
		}
	}

	private void addStep(TrackedJob tracked, List<TaskProgress> tasks, UnavailabilityCauses causes) {
		// Tasks of a step that are not suspected need the same room.
		Optional<UnavailabilityCauses.Cause> waiting = Optional.empty();
		for (TaskProgress task : tasks) {
			if (task.status() == TaskStatus.PLACED) {
				causes.assigned(task).ifPresent((cause) -> add(tracked, task, cause));
			}
			else if (task.status().waiting()) {
				Optional<UnavailabilityCauses.Cause> unassigned = causes.unassignedRun(task.key());
				if (unassigned.isPresent()) {
					add(tracked, task, unassigned.get());
				}
				else if (Suspicion.suspected(task)) {
					add(tracked, task, causes.waiting(tracked, task));
				}
				else {
					if (waiting.isEmpty()) {
						waiting = Optional.of(causes.waiting(tracked, task));
					}
					add(tracked, task, waiting.get());
				}
			}
		}
	}

	private void add(TrackedJob tracked, TaskProgress task, UnavailabilityCauses.Cause cause) {
		Optional<UnavailabilityTracker.Interruption> interruption = this.dispatcher.unavailability().find(task.key());
		long since = interruption.map(UnavailabilityTracker.Interruption::sinceNanos)
			.orElse((task.status() == TaskStatus.PLACED && task.run() > 0) ? cause.sinceNanos()
					: Math.max(tracked.acceptedNanos(), this.conditions.takeoverNanos()));
		String host = !cause.hostName().isEmpty() ? cause.hostName()
				: interruption.map(UnavailabilityTracker.Interruption::host).orElse("");
		this.found.add(new UnavailableTask(task.key(), task.run(), host, cause.reason(), since(since),
				since(cause.evidenceNanos())));
	}

	private Duration since(long nanos) {
		return Duration.ofNanos(Math.max(0, this.nowNanos - nanos));
	}

}
