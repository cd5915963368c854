package org.crocuspost.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.crocuspost.job.JobProgress;
import org.crocuspost.job.JobState;
import org.crocuspost.job.TaskKey;
import org.crocuspost.job.TaskProgress;
import org.crocuspost.wire.HostReport;
import org.jspecify.annotations.Nullable;

/**
 * Counts for each task the workers that crashed shortly after they had started it, and
 * gives up a task under which too many have crashed.
 *
 * <p>
 * The count is stored with the task. The stored assignment of a run names the incarnation
 * of its worker, so that any leader recognizes a crash from the first report about the
 * next incarnation, whichever leader started the run and whichever agent reports.
 */
final class CrashAttribution {

	private final Dispatcher dispatcher;

	CrashAttribution(Dispatcher dispatcher) {
		this.dispatcher = dispatcher;
	}

	/**
	 * Returns the runs of active jobs that the former worker of a host may have been
	 * running when it crashed.
	 * @param host the host, before the state of the former worker is discarded
	 * @param report the first report of the new worker
	 * @return the runs; empty if the former worker had announced its end
	 */
	List<Placement> runsOfCrashedWorker(HostState host, HostReport report) {
		if (host.worker().getDraining() || host.worker().getLeft()) {
			return List.of();
		}
		Map<TaskKey, Integer> runsOfSuccessor = runsOfSuccessor(report);
		return host.placements()
			.values()
			.stream()
			.filter((placement) -> placement.current()
					&& placement.mayHaveStarted(report, host.connections(), host.agentIncarnation())
					&& !placement.assignedTo(report.getWorker()) && activeJob(placement.task()).isPresent()
					&& runsOfSuccessor.getOrDefault(placement.task().key(), 0) != placement.run())
			.toList();
	}

	/**
	 * Returns the runs that the new worker has started itself, on an order that was in
	 * flight while its predecessor crashed.
	 * @param report the first report of the new worker
	 * @return the number of the run by task
	 */
	private static Map<TaskKey, Integer> runsOfSuccessor(HostReport report) {
		Map<TaskKey, Integer> runs = new HashMap<>();
		report.getRunningList().forEach((run) -> runs.put(TaskNames.key(run.getTask()), run.getRun()));
		report.getEndedList().forEach((end) -> runs.put(TaskNames.key(end.getTask()), end.getRun()));
		return runs;
	}

	/**
	 * Returns the crash of the former worker of a host.
	 * @param runs the runs that it may have been running, still assigned to it
	 * @param report the first report of the new worker
	 * @return the crash; null if there are no runs
	 */
	static @Nullable WorkerCrash describe(List<Placement> runs, HostReport report) {
		if (runs.isEmpty()) {
			return null;
		}
		Placement first = runs.get(0);
		return new WorkerCrash(first.worker(), first.workerStartMillis(), report.getWorker().getId(), runs.size(),
				runs.stream().filter(Placement::onProbation).map((placement) -> placement.task().key()).toList(),
				Duration.ofMillis(report.getListsAgeMillis()));
	}

	/**
	 * Counts a crash for the tasks that had started shortly before it, and gives up those
	 * under which too many workers have crashed.
	 * @param runs the runs that the worker may have been running
	 */
	void count(List<Placement> runs) {
		boolean oneJob = runs.stream()
			.filter(Placement::onProbation)
			.map((placement) -> placement.task().key().job())
			.distinct()
			.count() == 1;
		for (Placement placement : runs) {
			countCrash(placement);
			if (placement.onProbation()) {
				giveUpIfProved(placement.task(), oneJob);
			}
		}
	}

	private void countCrash(Placement placement) {
		placement.task().countCrash(placement.onProbation());
		this.dispatcher.markChanged(placement.task().key());
	}

	/**
	 * Counts a crash for the tasks of a worker whose lease has lapsed. Whether the worker
	 * has crashed is seen later, from a report; the tasks may have started elsewhere by
	 * then.
	 * @param host the host
	 * @param runs the runs whose lease has lapsed, assigned to the host until now
	 */
	void countUnresolved(HostState host, List<Placement> runs) {
		host.unresolvedLosses().addAll(runs);
		runs.forEach(this::countCrash);
	}

	/**
	 * Decides about the runs whose lease has lapsed: their worker has crashed if another
	 * incarnation is reported, and was only cut off if it answers again. The report of an
	 * agent whose worker does not answer decides nothing.
	 * @param host the host
	 * @param report the report
	 */
	void resolve(HostState host, HostReport report) {
		host.unresolvedLosses().removeIf((placement) -> resolved(placement, report));
	}

	private boolean resolved(Placement placement, HostReport report) {
		TaskProgress task = placement.task();
		if (!placement.assignedTo(report.getWorker())) {
			if (placement.onProbation()) {
				giveUpIfProved(task, true);
			}
			return true;
		}
		if (report.getWorkerAnswers()) {
			task.withdrawCrash(placement.onProbation());
			this.dispatcher.markChanged(task.key());
			return true;
		}
		return false;
	}

	/**
	 * Clears a task of the suspicion that it crashes workers, if its run has outlived its
	 * probation. Crashes of workers that were not suspected to be its fault are forgotten
	 * after a long probation only.
	 * @param placement the run
	 */
	void clearIfOutlived(Placement placement) {
		TaskProgress task = placement.task();
		if (!placement.current() || placement.onProbation()) {
			return;
		}
		boolean outlivedLongProbation = placement.observedRunTime().compareTo(DispatchSettings.LONG_PROBATION) >= 0;
		if (outlivedLongProbation) {
			clear(task, "it outlived a long probation");
		}
		else if (task.crashes() > 0) {
			this.dispatcher.listener().suspicionCleared(task, "it outlived its probation");
			task.clearSuspectedCrashes();
			this.dispatcher.markChanged(task.key());
		}
	}

	/**
	 * Forgets all crashes under a task.
	 * @param task the task
	 * @param reason why it is cleared
	 */
	void clear(TaskProgress task, String reason) {
		if (task.crashes() > 0 || task.crashedRuns() > 0) {
			this.dispatcher.listener().suspicionCleared(task, reason);
			task.clearCrashes();
			this.dispatcher.markChanged(task.key());
		}
	}

	private Optional<JobProgress> activeJob(TaskProgress task) {
		return this.dispatcher.job(task.key().job()).filter((job) -> !job.state().terminal());
	}

	private void giveUpIfProved(TaskProgress task, boolean onlySuspect) {
		if (!Suspicion.proved(task, onlySuspect)) {
			return;
		}
		activeJob(task).ifPresent((job) -> this.dispatcher.endJob(job, JobState.FAILED,
				task.crashedRuns() + " workers crashed while they ran task " + task.key() + ", " + task.crashes()
						+ " of them shortly after its start"));
	}

}
