package org.crocuspost.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.crocuspost.job.JobProgress;
import org.crocuspost.job.Queue;
import org.crocuspost.job.StepSpecification;
import org.crocuspost.job.TaskKey;
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
	 * Time without an answer of the worker before a listed run counts as unconfirmed. A
	 * single call of the agent that is lost must not make all tasks of a host look
	 * unavailable.
	 */
	static final Duration MINIMUM_SILENCE = Duration.ofSeconds(1);

	private final Dispatcher dispatcher;

	private final StartConditions conditions;

	private final long nowNanos;

	private final Map<TaskKey, HostState> unassignedRuns = new HashMap<>();

	private final Map<String, List<CandidateHost>> candidatesByService = new HashMap<>();

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
		for (HostState host : this.dispatcher.hosts()) {
			host.unassignedRuns().keySet().forEach((task) -> this.unassignedRuns.put(task, host));
			if (this.dispatcher.schedulable(host)) {
				this.candidatesByService.computeIfAbsent(host.worker().getService(), (service) -> new ArrayList<>())
					.add(new CandidateHost(host, this.nowNanos));
			}
		}
		jobs.forEach(this::addJob);
		return List.copyOf(this.found);
	}

	private void addJob(TrackedJob tracked) {
		JobProgress job = tracked.job();
		List<StepSpecification> steps = job.submission().specification().steps();
		long nowMillis = this.dispatcher.clock().millis();
		for (int occurrence = 0; occurrence < job.occurrences(); occurrence++) {
			if (job.submission().specification().dueMillis(occurrence) > nowMillis) {
				break;
			}
			for (int step = 0; step < steps.size(); step++) {
				if (steps.get(step).lasting() && !steps.get(step).filler() && job.predecessorsDone(occurrence, step)) {
					addStep(tracked, job.tasks(occurrence, step));
				}
			}
		}
	}

	private void addStep(TrackedJob tracked, List<TaskProgress> tasks) {
		// Tasks of a step that are not suspected need the same room.
		Optional<Cause> waiting = Optional.empty();
		for (TaskProgress task : tasks) {
			if (task.status() == TaskStatus.PLACED) {
				assigned(task).ifPresent((cause) -> add(tracked, task, cause));
			}
			else if (task.status().waiting()) {
				HostState listing = this.unassignedRuns.get(task.key());
				if (listing != null) {
					add(tracked, task, new Cause(UnavailabilityReason.UNASSIGNED_RUN, listing.reportedNanos(),
							listing.reportedNanos(), listing.name()));
				}
				else if (Suspicion.suspected(task)) {
					add(tracked, task, waiting(tracked, task));
				}
				else {
					if (waiting.isEmpty()) {
						waiting = Optional.of(waiting(tracked, task));
					}
					add(tracked, task, waiting.get());
				}
			}
		}
	}

	private void add(TrackedJob tracked, TaskProgress task, Cause cause) {
		Optional<UnavailabilityTracker.Interruption> interruption = this.dispatcher.unavailability().find(task.key());
		long since = interruption.map(UnavailabilityTracker.Interruption::sinceNanos)
			.orElse((task.status() == TaskStatus.PLACED && task.run() > 0) ? cause.sinceNanos()
					: Math.max(tracked.acceptedNanos(), this.conditions.takeoverNanos()));
		String host = !cause.host().isEmpty() ? cause.host()
				: interruption.map(UnavailabilityTracker.Interruption::host).orElse("");
		this.found.add(new UnavailableTask(task.key(), task.run(), host, cause.reason(), since(since),
				since(cause.evidenceNanos())));
	}

	private Duration since(long nanos) {
		return Duration.ofNanos(Math.max(0, this.nowNanos - nanos));
	}

	private Optional<Cause> assigned(TaskProgress task) {
		HostState host = this.dispatcher.host(task.host());
		Placement placement = host.placements().get(task.key());
		if (placement == null) {
			return Optional.of(new Cause(UnavailabilityReason.UNCONFIRMED_INCOMPLETE, host.reportedNanos(),
					host.reportedNanos(), host.name()));
		}
		long phaseSince = placement.phaseSinceNanos();
		if (placement.phase() == Placement.Phase.RECORDING) {
			return Optional.of(new Cause(UnavailabilityReason.RECORDING, phaseSince, phaseSince, host.name()));
		}
		if (!host.leaseStarted()) {
			return Optional.of(new Cause(UnavailabilityReason.UNCONFIRMED_NO_REPORT, phaseSince,
					this.conditions.takeoverNanos(), host.name()));
		}
		if (!host.connected() || !host.workerResponds()) {
			UnavailabilityReason reason = host.connected() ? UnavailabilityReason.UNCONFIRMED_SILENT
					: UnavailabilityReason.UNCONFIRMED_DISCONNECTED;
			long answered = host.lastExtensionNanos();
			boolean confirmedRecently = placement.listed() && this.nowNanos - answered < MINIMUM_SILENCE.toNanos();
			return confirmedRecently ? Optional.empty()
					: Optional.of(new Cause(reason, answered, answered, host.name()));
		}
		return switch (placement.phase()) {
			case RECORDING, ORDERED ->
				Optional.of(new Cause(UnavailabilityReason.ORDERED, phaseSince, phaseSince, host.name()));
			case INHERITED -> Optional.of(new Cause(UnavailabilityReason.UNCONFIRMED_INCOMPLETE, phaseSince,
					host.reportedNanos(), host.name()));
			case REPORTED -> placement.listed() ? Optional.empty() : Optional
				.of(new Cause(UnavailabilityReason.PENDING, phaseSince, host.reportedNanos(), host.name()));
		};
	}

	private Cause waiting(TrackedJob tracked, TaskProgress task) {
		if (!this.conditions.mayStart()) {
			return cause(UnavailabilityReason.STORE, this.nowNanos - this.conditions.oldest().toNanos());
		}
		Optional<Queue> queue = this.dispatcher.queueOf(tracked.job());
		if (queue.isEmpty()) {
			return cause(UnavailabilityReason.NO_QUEUE, this.conditions.takeoverNanos());
		}
		List<CandidateHost> candidates = this.candidatesByService.getOrDefault(queue.get().service(), List.of());
		if (candidates.isEmpty()) {
			return cause(UnavailabilityReason.NO_WORKER, newestReport(queue.get().service()));
		}
		long oldest = this.nowNanos;
		boolean room = false;
		for (CandidateHost candidate : candidates) {
			oldest = Math.min(oldest, candidate.host().reportedNanos());
			room |= PlacementPolicy.feasible(task, candidate);
		}
		if (Suspicion.suspected(task)) {
			return cause(UnavailabilityReason.PROBATION, oldest);
		}
		return cause(room ? UnavailabilityReason.UNDECIDED : UnavailabilityReason.NO_ROOM, oldest);
	}

	private long newestReport(String service) {
		long newest = this.conditions.takeoverNanos();
		for (HostState host : this.dispatcher.hosts()) {
			if (host.worker().getService().equals(service)) {
				newest = Math.max(newest, host.reportedNanos());
			}
		}
		return newest;
	}

	private static Cause cause(UnavailabilityReason reason, long evidenceNanos) {
		return new Cause(reason, evidenceNanos, evidenceNanos, "");
	}

	/**
	 * Why a task is not known to run.
	 *
	 * @param reason the reason
	 * @param sinceNanos since when, if no interruption of the task is known
	 * @param evidenceNanos the time of the information on which the reason is based
	 * @param host the host that the reason concerns; empty if it is none
	 */
	private record Cause(UnavailabilityReason reason, long sinceNanos, long evidenceNanos, String host) {
	}

}
