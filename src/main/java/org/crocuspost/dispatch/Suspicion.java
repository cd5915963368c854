package org.crocuspost.dispatch;

import java.time.Duration;

import org.crocuspost.job.TaskProgress;

/**
 * Judges by its crashes how far a task is suspected to crash workers.
 *
 * <p>
 * A task that crashes a worker right after its start is found by short probations. One
 * that does so some seconds later is not, if other tasks have started meanwhile: they are
 * suspected instead. It is found by the number of its runs that ended with a crash, and
 * by a long probation, in which nothing else starts on its worker.
 */
final class Suspicion {

	private Suspicion() {
	}

	static boolean suspected(TaskProgress task) {
		return task.crashes() > 0 || lostOften(task);
	}

	static boolean requiresIsolation(TaskProgress task) {
		return task.crashes() >= DispatchSettings.CRASHES_BEFORE_ISOLATION || lostOften(task);
	}

	/**
	 * Returns the time for which a run of the task must have run before it no longer
	 * counts as a possible cause of a crash of its worker.
	 * @param task the task
	 * @return the time
	 */
	static Duration probation(TaskProgress task) {
		return lostOften(task) ? DispatchSettings.LONG_PROBATION : DispatchSettings.PROBATION;
	}

	/**
	 * Returns whether the task is given up after a crash while one of its runs was on
	 * probation.
	 * @param task the task, with that crash counted
	 * @param onlySuspect whether no task of another job may have caused that crash; with
	 * others, one more crash is needed. A new leader does not know for how long the runs
	 * that it inherits had run, so all of them may have caused it
	 * @return true if it crashes workers
	 */
	static boolean proved(TaskProgress task, boolean onlySuspect) {
		int further = onlySuspect ? 0 : 1;
		return task.crashes() >= DispatchSettings.MAXIMUM_CRASHES + further
				|| task.crashedRuns() > DispatchSettings.CRASHED_RUNS_BEFORE_LONG_PROBATION + further;
	}

	private static boolean lostOften(TaskProgress task) {
		return task.crashedRuns() >= DispatchSettings.CRASHED_RUNS_BEFORE_LONG_PROBATION;
	}

}
