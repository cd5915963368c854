package org.crocuspost.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.EnumMap;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.crocuspost.job.Queue;
import org.crocuspost.job.StepSpecification;
import org.crocuspost.job.TaskKey;
import org.crocuspost.job.TaskProgress;
import org.jspecify.annotations.Nullable;

/**
 * Tells why tasks are not known to run, by what the leader knows at one moment. Changes
 * nothing in the dispatcher.
 */
final class UnavailabilityCauses {

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

	private final Map<String, ServiceWorkers> services = new HashMap<>();

	UnavailabilityCauses(Dispatcher dispatcher, StartConditions conditions, long nowNanos) {
		this.dispatcher = dispatcher;
		this.conditions = conditions;
		this.nowNanos = nowNanos;
		for (HostState host : dispatcher.hosts()) {
			host.unassignedRuns().keySet().forEach((task) -> this.unassignedRuns.put(task, host));
			if (!host.worker().getId().isEmpty()) {
				this.services.computeIfAbsent(host.worker().getService(), ServiceWorkers::new).add(host);
			}
		}
		this.services.values().forEach(ServiceWorkers::complete);
	}

	/**
	 * Returns why an assigned task is not known to run.
	 * @param task the task
	 * @return the cause; empty if a report has listed its run as running
	 */
	Optional<Cause> assigned(TaskProgress task) {
		HostState host = this.dispatcher.host(task.host());
		Placement placement = host.placements().get(task.key());
		if (placement == null) {
			return Optional.of(Cause.of(UnavailabilityReason.UNCONFIRMED_INCOMPLETE, host.reportedNanos(),
					host.reportedNanos(), host));
		}
		long phaseSince = placement.phaseSinceNanos();
		if (placement.phase() == Placement.Phase.RECORDING) {
			return Optional.of(Cause.of(UnavailabilityReason.RECORDING, phaseSince, phaseSince, host));
		}
		if (!host.leaseStarted()) {
			return Optional.of(Cause.of(UnavailabilityReason.UNCONFIRMED_NO_REPORT, phaseSince,
					this.conditions.takeoverNanos(), host));
		}
		if (!host.connected() || !host.workerResponds()) {
			UnavailabilityReason reason = host.connected() ? UnavailabilityReason.UNCONFIRMED_SILENT
					: UnavailabilityReason.UNCONFIRMED_DISCONNECTED;
			long answered = host.lastExtensionNanos();
			boolean confirmedRecently = placement.listed() && this.nowNanos - answered < MINIMUM_SILENCE.toNanos();
			return confirmedRecently ? Optional.empty() : Optional.of(Cause.of(reason, answered, answered, host));
		}
		return switch (placement.phase()) {
			case RECORDING, ORDERED ->
				Optional.of(Cause.of(UnavailabilityReason.ORDERED, phaseSince, phaseSince, host));
			case INHERITED -> Optional
				.of(Cause.of(UnavailabilityReason.UNCONFIRMED_INCOMPLETE, phaseSince, host.reportedNanos(), host));
			case REPORTED -> placement.listed() ? Optional.empty()
					: Optional.of(Cause.of(UnavailabilityReason.PENDING, phaseSince, host.reportedNanos(), host));
		};
	}

	/**
	 * Returns the cause for an assigned task whose run was listed, but not lately.
	 * @param task the task
	 * @param listedNanos the time of the list
	 * @return the cause
	 */
	Cause listedEarlier(TaskProgress task, long listedNanos) {
		HostState host = this.dispatcher.host(task.host());
		return Cause.of(UnavailabilityReason.UNCONFIRMED_INCOMPLETE, listedNanos, host.reportedNanos(), host);
	}

	/**
	 * Returns the host that lists a run of a task that is not assigned to it.
	 * @param task the identity of the task
	 * @return the cause; empty if no host lists one
	 */
	Optional<Cause> unassignedRun(TaskKey task) {
		return Optional.ofNullable(this.unassignedRuns.get(task))
			.map((host) -> Cause.of(UnavailabilityReason.UNASSIGNED_RUN, host.reportedNanos(), host.reportedNanos(),
					host));
	}

	/**
	 * Returns why a waiting task gets no worker. The causes of tasks of one step of a job
	 * differ only if {@link Suspicion} judges them differently.
	 * @param tracked the job
	 * @param task the task
	 * @return the cause
	 */
	Cause waiting(TrackedJob tracked, TaskProgress task) {
		if (!this.conditions.mayStart()) {
			return Cause.of(UnavailabilityReason.STORE, this.nowNanos - this.conditions.oldest().toNanos());
		}
		Optional<Queue> queue = this.dispatcher.queueOf(tracked.job());
		if (queue.isEmpty()) {
			return Cause.of(UnavailabilityReason.NO_QUEUE, this.conditions.takeoverNanos());
		}
		ServiceWorkers service = this.services.get(queue.get().service());
		if (service == null) {
			return Cause.of(UnavailabilityReason.NO_WORKER, this.conditions.takeoverNanos());
		}
		UnavailableJob.Workers workers = service.workers(tracked, task);
		if (service.accepting.isEmpty()) {
			long newest = Math.max(this.conditions.takeoverNanos(), service.newestReportNanos);
			return new Cause(UnavailabilityReason.NO_WORKER, newest, newest, null, workers);
		}
		UnavailabilityReason reason = reason(task, workers.conditions());
		return new Cause(reason, service.oldestReportNanos, service.oldestReportNanos, null, workers);
	}

	private static UnavailabilityReason reason(TaskProgress task, Map<WorkerCondition, Integer> counts) {
		boolean free = counts.containsKey(WorkerCondition.SUITED);
		if (Suspicion.suspected(task) && (free || counts.containsKey(WorkerCondition.ON_PROBATION)
				|| counts.containsKey(WorkerCondition.PROBATION_LIMIT)
				|| counts.containsKey(WorkerCondition.UNSTABLE))) {
			return UnavailabilityReason.PROBATION;
		}
		if (free) {
			return task.step().gang() ? UnavailabilityReason.GANG : UnavailabilityReason.UNDECIDED;
		}
		return counts.keySet().stream().anyMatch(WorkerCondition::excluded) ? UnavailabilityReason.EXCLUDED
				: UnavailabilityReason.NO_ROOM;
	}

	/**
	 * Why a task is not known to run.
	 *
	 * @param reason the reason
	 * @param sinceNanos since when, if no interruption of the task is known
	 * @param evidenceNanos the time of the information on which the reason is based
	 * @param host the host that the reason concerns; null if it is none
	 * @param workers what keeps the task from workers; null if that is not the reason
	 */
	record Cause(UnavailabilityReason reason, long sinceNanos, long evidenceNanos, @Nullable HostState host,
			UnavailableJob.@Nullable Workers workers) {

		private static Cause of(UnavailabilityReason reason, long evidenceNanos) {
			return new Cause(reason, evidenceNanos, evidenceNanos, null, null);
		}

		private static Cause of(UnavailabilityReason reason, long sinceNanos, long evidenceNanos, HostState host) {
			return new Cause(reason, sinceNanos, evidenceNanos, host, null);
		}

		String hostName() {
			return (this.host != null) ? this.host.name() : "";
		}

	}

	/**
	 * The workers of a service.
	 */
	private final class ServiceWorkers {

		private final String service;

		private final List<KnownWorker> known = new ArrayList<>();

		private final List<CandidateHost> accepting = new ArrayList<>();

		private final Map<String, Boolean> mayTry = new HashMap<>();

		private Map<HostState, CandidateHost> withHeldRoom = Map.of();

		private long oldestReportNanos = UnavailabilityCauses.this.nowNanos;

		private long newestReportNanos = Long.MIN_VALUE;

		private int mostFreeMilliCores;

		private int mostFreeMemoryMegabytes;

		private boolean spareCapacity;

		private boolean hasSound;

		private boolean probationLimitReached;

		private ServiceWorkers(String service) {
			this.service = service;
		}

		private void add(HostState host) {
			CandidateHost candidate = new CandidateHost(host, UnavailabilityCauses.this.nowNanos);
			boolean accepts = UnavailabilityCauses.this.dispatcher.schedulable(host);
			this.known.add(new KnownWorker(candidate, state(host), accepts ? WorkerCondition.SUITED : exclusion(host)));
			this.newestReportNanos = Math.max(this.newestReportNanos, host.reportedNanos());
			if (accepts) {
				this.accepting.add(candidate);
				this.oldestReportNanos = Math.min(this.oldestReportNanos, host.reportedNanos());
				this.mostFreeMilliCores = Math.max(this.mostFreeMilliCores, candidate.freeMilliCores());
				this.mostFreeMemoryMegabytes = Math.max(this.mostFreeMemoryMegabytes, candidate.freeMemoryMegabytes());
			}
		}

		private void complete() {
			Dispatcher source = UnavailabilityCauses.this.dispatcher;
			this.withHeldRoom = source.roomForServices().copiesWithHeldRoom(this.accepting);
			this.spareCapacity = source.hasSpareCapacity(this.service);
			this.hasSound = this.accepting.stream().anyMatch((candidate) -> !candidate.isUnstable());
			this.probationLimitReached = ProbationPlacement.limitReached(
					this.accepting.stream().filter((candidate) -> !this.hasSound || !candidate.isUnstable()).toList());
		}

		private UnavailableJob.Workers workers(TrackedJob tracked, TaskProgress task) {
			boolean anySuits = this.spareCapacity && tracked.starving(UnavailabilityCauses.this.nowNanos);
			Map<WorkerCondition, Integer> counts = new EnumMap<>(WorkerCondition.class);
			for (KnownWorker worker : this.known) {
				counts.merge(condition(task, worker, anySuits), 1, Integer::sum);
			}
			return new UnavailableJob.Workers(counts, this.mostFreeMilliCores, this.mostFreeMemoryMegabytes,
					this.spareCapacity);
		}

		private WorkerCondition condition(TaskProgress task, KnownWorker worker, boolean anySuits) {
			if (worker.state() != WorkerCondition.SUITED) {
				return worker.state();
			}
			WorkerCondition room = room(task.step(), worker.candidate());
			if (room != WorkerCondition.SUITED) {
				return room;
			}
			if (worker.exclusion() != WorkerCondition.SUITED) {
				return worker.exclusion();
			}
			WorkerCondition admission = admission(task, worker.candidate(), anySuits);
			return (admission == WorkerCondition.SUITED && !anySuits) ? suitability(task.step(), worker.candidate())
					: admission;
		}

		private WorkerCondition state(HostState host) {
			if (host.worker().getLeft()) {
				return WorkerCondition.LEFT;
			}
			if (!host.connected()) {
				return WorkerCondition.DISCONNECTED;
			}
			return host.workerResponds() ? WorkerCondition.SUITED : WorkerCondition.SILENT;
		}

		private WorkerCondition room(StepSpecification step, CandidateHost candidate) {
			if (!step.requiredLabel().isEmpty() && !candidate.labels().contains(step.requiredLabel())) {
				return WorkerCondition.LABEL;
			}
			if (step.reservedMilliCores() > candidate.freeMilliCores()) {
				return WorkerCondition.CORES;
			}
			if (step.memoryMegabytes() > candidate.freeMemoryMegabytes()) {
				return WorkerCondition.MEMORY;
			}
			return (step.accelerators() > candidate.freeAccelerators()) ? WorkerCondition.ACCELERATORS
					: WorkerCondition.SUITED;
		}

		private WorkerCondition exclusion(HostState host) {
			if (host.worker().getDraining()) {
				return WorkerCondition.DRAINING;
			}
			if (host.quarantined(UnavailabilityCauses.this.nowNanos)) {
				return WorkerCondition.QUARANTINE;
			}
			if (host.startBackOff().excludes(UnavailabilityCauses.this.nowNanos)) {
				return WorkerCondition.STARTS_FAILED;
			}
			return UnavailabilityCauses.this.dispatcher.evacuated(host) ? WorkerCondition.EVACUATED
					: WorkerCondition.LEASE_LAPSED;
		}

		private WorkerCondition admission(TaskProgress task, CandidateHost candidate, boolean anySuits) {
			if (candidate.awaitsStart()) {
				return WorkerCondition.STARTS_FAILED;
			}
			if (!PlacementPolicy.permitted(task, candidate)) {
				return WorkerCondition.WORKER_LIMIT;
			}
			CandidateHost withHeld = this.withHeldRoom.get(candidate.host());
			if (withHeld != null && !withHeld.fits(task.step())) {
				return WorkerCondition.HELD;
			}
			if (!candidate.admits(task)) {
				return WorkerCondition.ON_PROBATION;
			}
			if (anySuits || !Suspicion.suspected(task)) {
				return WorkerCondition.SUITED;
			}
			if (this.hasSound && candidate.isUnstable()) {
				return WorkerCondition.UNSTABLE;
			}
			return this.probationLimitReached ? WorkerCondition.PROBATION_LIMIT : WorkerCondition.SUITED;
		}

		private WorkerCondition suitability(StepSpecification step, CandidateHost candidate) {
			if (!step.filler()) {
				return WorkerCondition.SUITED;
			}
			PlacementPolicy policy = UnavailabilityCauses.this.dispatcher.policy();
			boolean trialAllowed = this.mayTry.computeIfAbsent(step.image(),
					(image) -> policy.mayTry(step, this.accepting));
			return policy.suitability(step, candidate, trialAllowed);
		}

	}

	/**
	 * A worker that the leader knows.
	 *
	 * @param candidate its host
	 * @param state why its room is not known
	 * @param exclusion why it accepts no tasks although its room is known
	 */
	private record KnownWorker(CandidateHost candidate, WorkerCondition state, WorkerCondition exclusion) {
	}

}
