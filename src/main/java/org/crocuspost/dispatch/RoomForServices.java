package org.crocuspost.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Set;

import org.crocuspost.job.StepSpecification;
import org.crocuspost.job.TaskKey;
import org.crocuspost.job.TaskProgress;
import org.jspecify.annotations.Nullable;

/**
 * Stops batch runs so that interrupted long-running tasks start again in a full fleet.
 *
 * <p>
 * The load pattern is a fleet whose capacity is reserved to the last core, by
 * long-running tasks and by batch runs with a backlog behind them, when a third of the
 * workers is lost. Example: three services of four cores are lost with their worker, and
 * on the other workers runs of one or two cores end every few seconds. The services are
 * first in the order of waiting jobs, but each end frees one or two cores, which a batch
 * task fits into and a service does not. The services wait until several runs of one
 * worker happen to end between two scheduling passes.
 *
 * <p>
 * Waiting jobs that leave the freed capacity to the services do not suffice: the runs
 * that are left may take longer than the services may be down. Stopping the runs of the
 * fullest worker frees more than is needed and discards work that is nearly done.
 * Therefore, the worker is chosen where the least work is discarded, only as many runs
 * are stopped as the task needs, and what becomes free is held for it.
 */
final class RoomForServices {

	static final String STOP_REASON = "makes room for a long-running task";

	private static final double MILLIS = 1_000;

	private final DispatchListener listener;

	private final Map<TaskKey, Request> requests = new HashMap<>();

	private final Map<TaskKey, FailedAttempt> failedAttempts = new HashMap<>();

	private final Map<TaskKey, Long> waitingForProbationSince = new HashMap<>();

	RoomForServices(DispatchListener listener) {
		this.listener = listener;
	}

	/**
	 * Returns whether room is made for a task: an interrupted task of a long-running step
	 * that reserves capacity. A task that has never run waits for free capacity.
	 * @param task the task
	 * @return true if batch runs may be stopped for it
	 */
	static boolean concerns(TaskProgress task) {
		return task.step().lasting() && !task.step().filler() && !task.step().gang() && task.everAssigned();
	}

	/**
	 * Begins a scheduling pass: holds the room that is being made, and gives up requests
	 * that have become pointless.
	 * @param candidates the hosts whose workers accept tasks
	 * @param nowNanos the current time
	 */
	void beginPass(Collection<CandidateHost> candidates, long nowNanos) {
		Map<HostState, CandidateHost> candidatesByHost = new HashMap<>();
		candidates.forEach((candidate) -> candidatesByHost.put(candidate.host(), candidate));
		this.requests.values().removeIf((request) -> !request.continues(candidatesByHost, nowNanos));
	}

	/**
	 * Returns the room that is held for a task to its host, so that the task can use it.
	 * @param task the task
	 */
	void releaseHeldRoom(TaskProgress task) {
		Request request = this.requests.get(task.key());
		if (request != null) {
			request.candidate.releaseRoom(task.step());
		}
	}

	/**
	 * Makes room for a task that found no worker, or goes on doing so.
	 * @param task the task
	 * @param candidates the hosts whose workers accept the task, with what the pass has
	 * left of their resources
	 * @param nowNanos the current time
	 */
	void makeRoom(TaskProgress task, Collection<CandidateHost> candidates, long nowNanos) {
		Request present = this.requests.get(task.key());
		if (present != null) {
			present.candidate.holdRoom(task.step());
			if (present.age(nowNanos).compareTo(DispatchSettings.MAXIMUM_WAIT_FOR_ENDS) >= 0) {
				present.stopAwaited(nowNanos);
			}
			return;
		}
		FailedAttempt failed = this.failedAttempts.get(task.key());
		if ((failed != null && nowNanos < failed.nextAttemptNanos()) || waitsForProbation(task, candidates, nowNanos)) {
			return;
		}
		String avoided = (failed != null) ? failed.host() : "";
		int allowed = DispatchSettings.MAXIMUM_RUNS_STOPPED_FOR_ROOM - stopping();
		Plan best = null;
		for (CandidateHost candidate : candidates) {
			Plan plan = candidate.host().name().equals(avoided) ? null : plan(task, candidate, nowNanos);
			if (plan != null && plan.stopped().size() <= allowed && (best == null || plan.cost() < best.cost())) {
				best = plan;
			}
		}
		if (best == null) {
			this.failedAttempts.put(task.key(),
					new FailedAttempt("", nowNanos + DispatchSettings.ROOM_ATTEMPT_INTERVAL.toNanos()));
			return;
		}
		this.failedAttempts.remove(task.key());
		best.candidate().holdRoom(task.step());
		this.requests.put(task.key(), new Request(task, best, nowNanos));
		this.listener.hostChanged(best.candidate().host().name(), "making room",
				best.stopped().size() + " runs are stopped and " + best.awaited().size()
						+ " are expected to end for task " + task.key() + " at run " + task.run()
						+ ", by a report that is "
						+ Duration.ofNanos(nowNanos - best.candidate().host().reportedNanos()).toMillis() + " ms old");
	}

	/**
	 * Returns whether a run is stopped to make room.
	 * @param placement the run
	 * @return true if a task waits for the capacity of the run
	 */
	boolean stops(Placement placement) {
		return this.requests.values().stream().anyMatch((request) -> request.stopped.contains(placement));
	}

	/**
	 * Returns what is left of hosts without the room that is being made on them.
	 * @param candidates the hosts, which stay unchanged
	 * @return copies of the hosts on which room is being made
	 */
	Map<HostState, CandidateHost> copiesWithHeldRoom(Collection<CandidateHost> candidates) {
		Map<HostState, CandidateHost> copies = new HashMap<>();
		for (Request request : this.requests.values()) {
			for (CandidateHost candidate : candidates) {
				if (candidate.host() == request.host) {
					copies.computeIfAbsent(request.host, (host) -> candidate.copy()).holdRoom(request.task.step());
				}
			}
		}
		return copies;
	}

	/**
	 * Ends the request of a task that has got a worker.
	 * @param task the task
	 */
	void placed(TaskKey task) {
		this.requests.remove(task);
		this.failedAttempts.remove(task);
		this.waitingForProbationSince.remove(task);
	}

	/**
	 * Ends the requests of the tasks of a job that has ended.
	 * @param job the identity of the job
	 */
	void jobEnded(String job) {
		this.requests.keySet().removeIf((task) -> task.job().equals(job));
		this.failedAttempts.keySet().removeIf((task) -> task.job().equals(job));
		this.waitingForProbationSince.keySet().removeIf((task) -> task.job().equals(job));
	}

	private int stopping() {
		return (int) this.requests.values()
			.stream()
			.flatMap((request) -> request.stopped.stream()
				.filter((placement) -> request.host.placements().get(placement.task().key()) == placement))
			.distinct()
			.count();
	}

	// A suspected task that fits on a worker on which it may not start yet lacks no room,
	// unless the probation there is a long one.
	private boolean waitsForProbation(TaskProgress task, Collection<CandidateHost> candidates, long nowNanos) {
		if (!Suspicion.suspected(task) || candidates.stream()
			.noneMatch((candidate) -> candidate.fits(task.step()) && PlacementPolicy.permitted(task, candidate))) {
			return false;
		}
		long since = this.waitingForProbationSince.computeIfAbsent(task.key(), (key) -> nowNanos);
		return nowNanos - since < DispatchSettings.MAXIMUM_WAIT_FOR_ENDS.toNanos();
	}

	private @Nullable Plan plan(TaskProgress task, CandidateHost candidate, long nowNanos) {
		HostState host = candidate.host();
		if (host.overCapacity()) {
			return null;
		}
		CandidateHost trial = candidate.copy();
		List<Placement> awaited = new ArrayList<>();
		List<Placement> stoppable = new ArrayList<>();
		host.unassignedRuns().values().forEach(trial::releaseRoom);
		for (Placement placement : host.placements().values()) {
			if (!placement.current() || placement.stopOrdered() || stops(placement)) {
				trial.releaseRoom(placement.task().step());
			}
			else if (stoppable(placement)) {
				stoppable.add(placement);
			}
		}
		for (Placement placement : List.copyOf(stoppable)) {
			if (endsSoon(placement)) {
				trial.releaseRoom(placement.task().step());
				awaited.add(placement);
				stoppable.remove(placement);
			}
		}
		List<Placement> stopped = select(task, trial, stoppable, nowNanos);
		if (stopped == null) {
			return null;
		}
		double cost = stopped.stream().mapToDouble((placement) -> cost(placement, nowNanos)).sum();
		return new Plan(candidate, stopped, awaited, cost);
	}

	private static boolean stoppable(Placement placement) {
		StepSpecification step = placement.task().step();
		return !step.lasting() && !step.gang() && placement.phase() != Placement.Phase.INHERITED;
	}

	private static boolean endsSoon(Placement placement) {
		return placement.expectedRemaining()
			.filter((remaining) -> remaining.compareTo(DispatchSettings.STOP_DURATION) <= 0)
			.isPresent();
	}

	/**
	 * Selects the runs to stop: those that free most of what is missing for their cost,
	 * without those that turn out to be needless once larger ones are selected.
	 * @param task the task that needs room
	 * @param trial the host, without the runs that end anyway
	 * @param stoppable the runs that may be stopped
	 * @param nowNanos the current time
	 * @return the runs; null if the task would not fit without all of them
	 */
	private static @Nullable List<Placement> select(TaskProgress task, CandidateHost trial, List<Placement> stoppable,
			long nowNanos) {
		List<Placement> left = new ArrayList<>(stoppable);
		List<Placement> selected = new ArrayList<>();
		while (!trial.fits(task.step())) {
			Placement best = left.stream()
				.filter((placement) -> contribution(task, trial, placement) > 0)
				.min(Comparator
					.comparingDouble((placement) -> cost(placement, nowNanos) / contribution(task, trial, placement)))
				.orElse(null);
			if (best == null) {
				return null;
			}
			left.remove(best);
			selected.add(best);
			trial.releaseRoom(best.task().step());
		}
		if (!PlacementPolicy.feasible(task, trial)) {
			return null;
		}
		selected.sort(Comparator.comparingDouble((placement) -> -cost(placement, nowNanos)));
		for (Placement placement : List.copyOf(selected)) {
			trial.holdRoom(placement.task().step());
			if (trial.fits(task.step())) {
				selected.remove(placement);
			}
			else {
				trial.releaseRoom(placement.task().step());
			}
		}
		return selected;
	}

	private static double contribution(TaskProgress task, CandidateHost trial, Placement placement) {
		StepSpecification needed = task.step();
		StepSpecification freed = placement.task().step();
		return share(freed.reservedMilliCores(), needed.reservedMilliCores() - trial.freeMilliCores())
				+ share(freed.memoryMegabytes(), needed.memoryMegabytes() - trial.freeMemoryMegabytes())
				+ share(freed.accelerators(), needed.accelerators() - trial.freeAccelerators());
	}

	private static double share(int freed, int missing) {
		return (missing <= 0) ? 0 : Math.min(freed, missing) / (double) missing;
	}

	/**
	 * Returns the work that is lost if a run is stopped. A run that saves checkpoints
	 * saves one when it is stopped, and one that was not ordered yet has done nothing.
	 * @param placement the run
	 * @param nowNanos the current time
	 * @return the work, in core-seconds
	 */
	private static double cost(Placement placement, long nowNanos) {
		if (placement.phase() == Placement.Phase.RECORDING) {
			return DispatchSettings.START_COST;
		}
		StepSpecification step = placement.task().step();
		Duration lost = step.checkpointing() ? Duration.ZERO : placement.age(nowNanos);
		return DispatchSettings.START_COST
				+ step.milliCores() / MILLIS * (DispatchSettings.STOP_DURATION.plus(lost).toMillis() / MILLIS);
	}

	/**
	 * A way to make room for a task.
	 *
	 * @param candidate the host
	 * @param stopped the runs to stop
	 * @param awaited the runs that are expected to end by themselves
	 * @param cost the work that is lost, in core-seconds
	 */
	private record Plan(CandidateHost candidate, List<Placement> stopped, List<Placement> awaited, double cost) {
	}

	/**
	 * An attempt that failed.
	 *
	 * @param host the host to avoid in the next attempt; empty if there is none
	 * @param nextAttemptNanos the time of the next attempt
	 */
	private record FailedAttempt(String host, long nextAttemptNanos) {
	}

	/**
	 * Room that is being made for a task.
	 */
	private final class Request {

		private final TaskProgress task;

		private final HostState host;

		private final String worker;

		private final long workerStartMillis;

		private final long sinceNanos;

		private long latestStopNanos;

		private final Set<Placement> stopped;

		private final List<Placement> awaited;

		private CandidateHost candidate;

		private Request(TaskProgress task, Plan plan, long nowNanos) {
			this.task = task;
			this.host = plan.candidate().host();
			this.worker = this.host.worker().getId();
			this.workerStartMillis = this.host.worker().getBorn();
			this.sinceNanos = nowNanos;
			this.latestStopNanos = nowNanos;
			this.stopped = new HashSet<>(plan.stopped());
			this.awaited = new ArrayList<>(plan.awaited());
			this.candidate = plan.candidate();
		}

		private Duration age(long nowNanos) {
			return Duration.ofNanos(nowNanos - this.sinceNanos);
		}

		private void stopAwaited(long nowNanos) {
			if (this.stopped.addAll(this.awaited)) {
				this.latestStopNanos = nowNanos;
			}
			this.awaited.clear();
		}

		private boolean continues(Map<HostState, CandidateHost> candidates, long nowNanos) {
			CandidateHost present = candidates.get(this.host);
			if (present == null || !this.task.status().waiting() || this.host.overCapacity()
					|| !this.host.worker().getId().equals(this.worker)
					|| this.host.worker().getBorn() != this.workerStartMillis) {
				return false;
			}
			if (nowNanos - this.latestStopNanos >= DispatchSettings.ROOM_TIMEOUT.toNanos()) {
				RoomForServices.this.failedAttempts.put(this.task.key(), new FailedAttempt(this.host.name(), nowNanos));
				return false;
			}
			this.candidate = present;
			present.holdRoom(this.task.step());
			return true;
		}

	}

}
