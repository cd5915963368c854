package org.crocuspost.lead;

import java.time.Duration;

import org.crocuspost.dispatch.ConsolidationAttempt;
import org.crocuspost.dispatch.DispatchListener;
import org.crocuspost.dispatch.Evidence;
import org.crocuspost.dispatch.JobStart;
import org.crocuspost.dispatch.JobTiming;
import org.crocuspost.dispatch.RefusalKind;
import org.crocuspost.dispatch.RegainedTask;
import org.crocuspost.dispatch.SelectionEvidence;
import org.crocuspost.dispatch.StopEvidence;
import org.crocuspost.dispatch.WorkerCrash;
import org.crocuspost.job.JobProgress;
import org.crocuspost.job.TaskKey;
import org.crocuspost.job.TaskProgress;
import org.crocuspost.log.EventLog;
import org.crocuspost.log.Field;

/**
 * Logs the leader's decisions and counts them in metrics.
 */
final class DecisionLog implements DispatchListener {

	/**
	 * Age below which a stopped run was placed wrongly.
	 */
	private static final Duration EARLY_STOP = Duration.ofSeconds(2);

	/**
	 * Maximum number of tasks that one line names.
	 */
	private static final int MAXIMUM_LISTED_TASKS = 12;

	private final LeaderMetrics metrics;

	DecisionLog(LeaderMetrics metrics) {
		this.metrics = metrics;
	}

	@Override
	public void jobSeen(JobProgress job) {
		EventLog.info(LeadEvent.JOB_SEEN, Field.of("job", job.id()), Field.of("queue", job.submission().queue()),
				Field.of("steps", job.submission().specification().steps().size()),
				Field.of("images",
						job.submission()
							.specification()
							.steps()
							.stream()
							.map((step) -> step.image())
							.limit(MAXIMUM_LISTED_TASKS)
							.toList()));
	}

	@Override
	public void jobEnded(JobProgress job, String reason, JobTiming timing) {
		this.metrics.jobEnded(job.state().label());
		EventLog.info(LeadEvent.JOB_ENDED, Field.of("job", job.id()), Field.of("queue", job.submission().queue()),
				Field.of("state", job.state().label()), Field.of("reason", reason),
				Field.of("ageMillis", timing.age().toMillis()),
				Field.of("objectiveMillis", timing.objective().map((objective) -> objective.toMillis()).orElse(-1L)));
	}

	@Override
	public void placed(TaskProgress task, long waitedMillis) {
		this.metrics.placed(waitedMillis);
		EventLog.info(LeadEvent.TASK_PLACED, Field.of("job", task.key().job()), Field.of("task", task.key()),
				Field.of("run", task.run()), Field.of("host", task.host()), Field.of("waitedMillis", waitedMillis),
				Field.of("crashes", task.crashes()), Field.of("crashedRuns", task.crashedRuns()));
	}

	@Override
	public void jobStarted(JobProgress job, JobStart start) {
		start.sinceAssigned().ifPresent(this.metrics::jobStarted);
		EventLog.info(LeadEvent.JOB_STARTED, Field.of("job", job.id()), Field.of("queue", job.submission().queue()),
				Field.of("task", start.task()), Field.of("run", start.run()), Field.of("host", start.host()),
				Field.of("ageMillis", start.age().toMillis()),
				Field.of("sinceAssignedMillis", start.sinceAssigned().map(Duration::toMillis).orElse(-1L)),
				Field.of("evidenceAgeMillis", start.evidence().age().toMillis()));
	}

	@Override
	public void runEnded(TaskProgress task, int run, String host, String outcome) {
		this.metrics.runEnded(outcome);
		EventLog.info(LeadEvent.RUN_ENDED, Field.of("job", task.key().job()), Field.of("task", task.key()),
				Field.of("run", run), Field.of("host", host), Field.of("outcome", outcome),
				Field.of("failures", task.failures()));
	}

	@Override
	public void endIgnored(TaskKey task, int run, String host, String outcome, String reason) {
		EventLog.info(LeadEvent.END_IGNORED, Field.of("job", task.job()), Field.of("task", task), Field.of("run", run),
				Field.of("host", host), Field.of("outcome", outcome), Field.of("reason", reason));
	}

	@Override
	public void runLost(TaskProgress task, int run, String host, String reason, Evidence evidence,
			Duration observedRunTime) {
		this.metrics.runEnded(reason);
		EventLog.warn(LeadEvent.RUN_LOST, Field.of("job", task.key().job()), Field.of("task", task.key()),
				Field.of("run", run), Field.of("host", host), Field.of("outcome", reason),
				Field.of("agent", evidence.agentIncarnation()), Field.of("basis", evidence.basis().label()),
				Field.of("evidenceAgeMillis", evidence.age().toMillis()),
				Field.of("observedRunMillis", observedRunTime.toMillis()));
	}

	@Override
	public void startRefused(TaskProgress task, int run, String host, String reason) {
		// The run is logged as lost, with the reason.
		this.metrics.startRefused(RefusalKind.of(reason));
	}

	@Override
	public void taskRegained(TaskProgress task, RegainedTask regained) {
		this.metrics.taskRegained(regained.duration(), regained.inherited());
		EventLog.info(LeadEvent.TASK_REGAINED, Field.of("job", task.key().job()), Field.of("task", task.key()),
				Field.of("run", task.run()), Field.of("host", regained.host()),
				Field.of("unavailableMillis", regained.duration().toMillis()),
				Field.of("inherited", regained.inherited()), Field.of("agent", regained.evidence().agentIncarnation()),
				Field.of("evidenceAgeMillis", regained.evidence().age().toMillis()));
	}

	@Override
	public void workerCrashed(String host, WorkerCrash crash) {
		this.metrics.workerCrashed();
		EventLog.warn(LeadEvent.WORKER_CRASHED, Field.of("host", host), Field.of("worker", crash.worker()),
				Field.of("born", crash.startMillis()), Field.of("successor", crash.successor()),
				Field.of("runs", crash.runs()), Field.of("recentStarts", crash.recentStarts().size()),
				Field.of("tasks", crash.recentStarts().stream().limit(MAXIMUM_LISTED_TASKS).toList()),
				Field.of("evidenceAgeMillis", crash.evidenceAge().toMillis()));
	}

	@Override
	public void suspicionCleared(TaskProgress task, String reason) {
		EventLog.info(LeadEvent.SUSPICION_CLEARED, Field.of("job", task.key().job()), Field.of("task", task.key()),
				Field.of("run", task.run()), Field.of("crashes", task.crashes()),
				Field.of("crashedRuns", task.crashedRuns()), Field.of("reason", reason));
	}

	@Override
	public void runStopped(TaskProgress task, int run, String host, String reason, StopEvidence evidence) {
		boolean early = evidence.age().compareTo(EARLY_STOP) < 0;
		this.metrics.runStopped(reason, early);
		EventLog.info(LeadEvent.RUN_STOPPED, Field.of("job", task.key().job()), Field.of("task", task.key()),
				Field.of("run", run), Field.of("host", host), Field.of("reason", reason),
				Field.of("pace", evidence.pace()), Field.of("pressure", evidence.pressure()),
				Field.of("ageMillis", evidence.age().toMillis()));
	}

	@Override
	public void selectionChanged(JobProgress job, boolean deferred, SelectionEvidence evidence) {
		EventLog.info(deferred ? LeadEvent.JOB_DEFERRED : LeadEvent.JOB_RESUMED, Field.of("job", job.id()),
				Field.of("queue", job.submission().queue()), Field.of("state", job.state().label()),
				Field.of("heavyWork", evidence.heavyWork()), Field.of("totalWork", evidence.totalWork()),
				Field.of("heavyWorkAhead", evidence.heavyWorkAhead()),
				Field.of("totalWorkAhead", evidence.totalWorkAhead()),
				Field.of("exclusiveCores", evidence.exclusiveCores()), Field.of("sharedCores", evidence.sharedCores()),
				Field.of("timeLeftMillis", evidence.timeLeft().toMillis()),
				Field.of("evidenceAgeMillis", evidence.age().toMillis()));
	}

	@Override
	public void consolidationAttempted(ConsolidationAttempt attempt) {
		EventLog.info(LeadEvent.CONSOLIDATION_ATTEMPTED, Field.of("service", attempt.service()),
				Field.of("waitingMilliCores", attempt.waitingMilliCores()),
				Field.of("waitedMillis", attempt.waited().toMillis()), Field.of("wanted", attempt.wanted()),
				Field.of("freed", attempt.freed()), Field.of("movedTasks", attempt.movedTasks()),
				Field.of("rejected", attempt.rejected()), Field.of("fixed", attempt.fixed()),
				Field.of("skipped", attempt.skipped()));
	}

	@Override
	public void hostChanged(String host, String state, String detail) {
		this.metrics.hostChanged(state);
		EventLog.info(LeadEvent.HOST_CHANGED, Field.of("host", host), Field.of("belief", state),
				Field.of("detail", detail));
	}

}
