package org.crocuspost.dispatch;

import java.time.Duration;

import org.crocuspost.job.JobProgress;
import org.crocuspost.job.TaskKey;
import org.crocuspost.job.TaskProgress;

/**
 * Ignores all decisions.
 */
class SilentDispatchListener implements DispatchListener {

	@Override
	public void jobSeen(JobProgress job) {
	}

	@Override
	public void jobEnded(JobProgress job, String reason, JobTiming timing) {
	}

	@Override
	public void placed(TaskProgress task, long waitedMillis) {
	}

	@Override
	public void jobStarted(JobProgress job, JobStart start) {
	}

	@Override
	public void runEnded(TaskProgress task, int run, String host, String outcome) {
	}

	@Override
	public void endIgnored(TaskKey task, int run, String host, String outcome, String reason) {
	}

	@Override
	public void runLost(TaskProgress task, int run, String host, String reason, Evidence evidence,
			Duration observedRunTime) {
	}

	@Override
	public void startRefused(TaskProgress task, int run, String host, String reason) {
	}

	@Override
	public void taskRegained(TaskProgress task, RegainedTask regained) {
	}

	@Override
	public void workerCrashed(String host, WorkerCrash crash) {
	}

	@Override
	public void suspicionCleared(TaskProgress task, String reason) {
	}

	@Override
	public void runStopped(TaskProgress task, int run, String host, String reason, StopEvidence evidence) {
	}

	@Override
	public void selectionChanged(JobProgress job, boolean deferred, SelectionEvidence evidence) {
	}

	@Override
	public void consolidationAttempted(ConsolidationAttempt attempt) {
	}

	@Override
	public void hostChanged(String host, String assessment, String detail) {
	}

}
