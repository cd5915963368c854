package org.crocuspost.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.crocuspost.job.JobProgress;
import org.crocuspost.job.JobState;
import org.crocuspost.job.Queue;
import org.crocuspost.job.StepSpecification;
import org.crocuspost.job.TaskKey;
import org.crocuspost.job.TaskProgress;
import org.crocuspost.job.TaskStatus;
import org.crocuspost.wire.EndedTask;
import org.crocuspost.wire.HostReport;
import org.crocuspost.wire.RefusedStart;
import org.crocuspost.wire.RunningTask;
import org.crocuspost.wire.StopOrder;
import org.crocuspost.wire.TraitsOfRun;
import org.crocuspost.wire.WorkerDescription;

/**
 * Brings the leader's working copy in line with what hosts report.
 *
 * <p>
 * A report is complete unless it says that more ends follow: a run that it does not list,
 * although the order for it was carried out, is not there. So lost messages need no
 * handling of their own.
 */
public final class ReportProcessor {

	/**
	 * A task whose progress stands still for so long is taken to hang.
	 */
	static final Duration STALL_TIMEOUT = Duration.ofMillis(2_500);

	/**
	 * Pace below which a task that stands still is not suspected.
	 */
	static final int STALL_MINIMUM_PACE = 50;

	static final String LEFT = "worker left";

	private static final String LAPSED = "lease lapsed";

	private final Dispatcher dispatcher;

	private final ImagePressure imagePressure;

	/**
	 * Creates the processor.
	 * @param dispatcher holds the working copy
	 * @param imagePressure learns how fillers press on services
	 */
	public ReportProcessor(Dispatcher dispatcher, ImagePressure imagePressure) {
		this.dispatcher = dispatcher;
		this.imagePressure = imagePressure;
	}

	/**
	 * Notes that the connection to a host is open or closed.
	 * @param name the name of the host
	 * @param connected whether it is open
	 */
	public void connected(String name, boolean connected) {
		this.dispatcher.host(name).connected(connected);
	}

	/**
	 * Processes a report.
	 * @param report the report
	 * @param mayGrant whether this process is sure enough to lead that it may extend
	 * leases
	 * @return what to answer
	 */
	public Response reported(HostReport report, boolean mayGrant) {
		HostState host = this.dispatcher.host(report.getHost());
		long now = this.dispatcher.clock().nanoTime();
		host.connected(true);
		host.obeys(now);
		if (report.getWorker().getId().isEmpty()) {
			// The agent does not know its worker or what runs there yet.
			host.answers(false);
			return Response.NONE;
		}
		describe(host, report);
		boolean newLife = !report.getLife().equals(host.life());
		host.life(report.getLife());
		host.answers(report.getWorkerAnswers());
		if (!host.worker().getId().isEmpty()) {
			processEnds(host, report);
			processRuns(host, report, now);
		}
		boolean grant = mayGrant && report.getWorkerAnswers() && report.getLeaseStamp() > 0;
		if (grant) {
			host.granted(now);
		}
		return new Response(grant ? report.getLeaseStamp() : 0, host.recordedEnds(), stops(host, report, now),
				newLife ? traits(host, report) : List.of());
	}

	private void describe(HostState host, HostReport report) {
		WorkerDescription next = report.getWorker();
		WorkerDescription known = host.worker();
		if (!host.sameWorker(next)) {
			loseAll(host, "worker restarted", next, listed(report), Evidence.of(report));
			host.newWorker();
			this.dispatcher.listener()
				.hostChanged(host.name(), "worker seen",
						"worker " + next.getId() + " born " + next.getBorn() + " in " + next.getFailureDomain());
		}
		if (next.getDraining() && !known.getDraining()) {
			this.dispatcher.listener().hostChanged(host.name(), "draining", "worker " + next.getId());
		}
		host.worker(next);
		if (next.getLeft()) {
			loseAll(host, LEFT, WorkerDescription.getDefaultInstance(), Set.of(), Evidence.of(report));
		}
	}

	/**
	 * Gives up the runs of a worker whose end its agent has recorded.
	 * @param name the name of the host
	 * @param departure the end
	 */
	public void departed(String name, Departure departure) {
		HostState host = this.dispatcher.host(name);
		host.departure(departure);
		Evidence evidence = Evidence.of(departure, this.dispatcher.clock().millis());
		for (Placement placement : List.copyOf(host.placements().values())) {
			TaskProgress task = placement.task();
			if (placement.phase() != Placement.Phase.RECORDING
					&& departure.endsRunsOf(task.worker(), task.workerStartMillis())) {
				lose(host, placement, LEFT, evidence);
			}
		}
	}

	/**
	 * Gives up the runs of hosts whose lease has lapsed.
	 * @param unreachable how long a host that this leader never heard of may still run
	 * tasks, counted from its takeover
	 * @param takeoverNanos when this leader took over
	 */
	public void expireLeases(Duration unreachable, long takeoverNanos) {
		long now = this.dispatcher.clock().nanoTime();
		for (HostState host : this.dispatcher.hosts()) {
			if (host.placements().isEmpty() && host.strangers().isEmpty()) {
				continue;
			}
			boolean heard = host.grantedOnce();
			long lastGrant = heard ? host.grantNanos() : takeoverNanos;
			Duration silence = Duration.ofNanos(now - lastGrant);
			if (silence.compareTo(heard ? this.dispatcher.settings().leaseTimeout() : unreachable) > 0) {
				loseAll(host, LAPSED, host.worker(), Set.of(), Evidence.ofSilence(silence));
				host.strangers().clear();
			}
		}
	}

	/**
	 * Returns the runs that a report lists in any way. A start that crosses the restart
	 * of a worker runs in the new life if the worker kept its identity.
	 * @param report the report
	 * @return the tasks with the numbers of their runs
	 */
	private static Set<ListedRun> listed(HostReport report) {
		Set<ListedRun> listed = new HashSet<>();
		report.getRunningList().forEach((run) -> listed.add(new ListedRun(TaskNames.key(run.getTask()), run.getRun())));
		report.getPendingList().forEach((run) -> listed.add(new ListedRun(TaskNames.key(run.getTask()), run.getRun())));
		report.getEndedList().forEach((run) -> listed.add(new ListedRun(TaskNames.key(run.getTask()), run.getRun())));
		return listed;
	}

	private void loseAll(HostState host, String reason, WorkerDescription survivor, Set<ListedRun> listed,
			Evidence evidence) {
		for (Placement placement : List.copyOf(host.placements().values())) {
			if (listed.contains(new ListedRun(placement.task().key(), placement.run()))) {
				continue;
			}
			boolean recording = placement.phase() == Placement.Phase.RECORDING;
			boolean onSurvivor = placement.task().worker().equals(survivor.getId())
					&& placement.task().workerStartMillis() == survivor.getBorn();
			if (recording || (onSurvivor && !reason.equals(LAPSED))) {
				continue;
			}
			lose(host, placement, reason, evidence);
		}
	}

	private void lose(HostState host, Placement placement, String reason, Evidence evidence) {
		TaskProgress task = placement.task();
		host.placements().remove(task.key());
		if (placement.current()) {
			task.loseRun();
			this.dispatcher.changed(task.key().job());
			this.dispatcher.listener().runLost(task, placement.run(), host.name(), reason, evidence);
		}
	}

	private void processEnds(HostState host, HostReport report) {
		boolean seen = false;
		for (EndedTask ended : report.getEndedList()) {
			if (ended.getNumber() <= host.seenEnds()) {
				continue;
			}
			host.seenEnds(ended.getNumber());
			seen = true;
			processEnd(host, ended);
		}
		if (seen) {
			this.dispatcher.endsSeen(host);
		}
	}

	private void processEnd(HostState host, EndedTask ended) {
		TaskKey key = TaskNames.key(ended.getTask());
		Placement placement = host.placements().get(key);
		if (placement != null && placement.run() == ended.getRun()) {
			host.placements().remove(key);
		}
		Optional<JobProgress> job = this.dispatcher.job(key.job());
		TaskProgress task = job.map((found) -> found.task(key)).orElse(null);
		if (job.isEmpty() || task == null) {
			return;
		}
		boolean done = ended.getKind().equals("done");
		boolean failed = ended.getKind().equals("failed");
		if (done || failed) {
			boolean suspected = host.judge(failed, this.dispatcher.clock().nanoTime());
			if (suspected) {
				this.dispatcher.listener().hostChanged(host.name(), "suspected", "tasks fail in a row");
			}
		}
		if (task.run() != ended.getRun()) {
			return;
		}
		if (task.status() == TaskStatus.PLACED || task.status() == TaskStatus.WAITING_AFTER_LOSS) {
			settle(job.get(), task, ended, host.name());
		}
	}

	private void settle(JobProgress job, TaskProgress task, EndedTask ended, String host) {
		task.saveCheckpoint(ended.getCheckpoint());
		boolean failed = ended.getKind().equals("failed");
		if (ended.getKind().equals("done") && !task.step().lasting()) {
			complete(job, task);
		}
		else {
			task.endRun(failed);
		}
		this.dispatcher.changed(job.id());
		this.dispatcher.listener().runEnded(task, ended.getRun(), host, ended.getKind());
		if (job.state().terminal()) {
			return;
		}
		if (job.allDone()) {
			this.dispatcher.end(job, JobState.COMPLETED, "all tasks are done");
		}
		else if (failed && !task.step().lasting()) {
			int allowed = this.dispatcher.queueOf(job).map(Queue::attempts).orElse(Integer.MAX_VALUE);
			if (task.failures() >= allowed) {
				this.dispatcher.end(job, JobState.FAILED,
						"task " + task.key() + " failed " + task.failures() + " times");
			}
		}
	}

	private static void complete(JobProgress job, TaskProgress task) {
		task.complete();
		if (task.step().gang()) {
			// One member stands for the whole gang.
			job.tasks(task.key().occurrence(), task.key().step()).forEach(TaskProgress::complete);
		}
	}

	private void processRuns(HostState host, HostReport report, long now) {
		Set<TaskKey> listed = new HashSet<>();
		host.strangers().clear();
		double pressure = 0;
		Map<String, Double> shares = new HashMap<>();
		List<RunningTask> present = new ArrayList<>(report.getRunningList());
		present.addAll(report.getPendingList());
		for (RunningTask running : present) {
			TaskKey key = TaskNames.key(running.getTask());
			Placement placement = host.placements().get(key);
			if (placement != null && placement.run() == running.getRun()) {
				listed.add(key);
				placement.task().saveCheckpoint(running.getCheckpoint());
				placement.reported(running, now);
				StepSpecification step = placement.task().step();
				pressure = Math.max(pressure, pressure(step, running));
				if (step.filler()) {
					shares.merge(step.image(), running.getLoad() / (double) Math.max(1, host.worker().getMilliCores()),
							Double::sum);
				}
			}
			else {
				this.dispatcher.job(key.job())
					.map((job) -> job.task(key))
					.ifPresent((task) -> host.strangers().put(key, task.step()));
			}
		}
		host.pressure(pressure);
		host.fadeExpectedRise(now);
		if (pressure > 0) {
			this.imagePressure.observe(host.name(), pressure, shares);
		}
		if (!report.getEndsFollow()) {
			settleMissing(host, report, listed);
		}
	}

	private static double pressure(StepSpecification step, RunningTask running) {
		return step.tailTarget().isZero() ? 0 : running.getLoad() / (double) step.tailTarget().toMillis();
	}

	private void settleMissing(HostState host, HostReport report, Set<TaskKey> listed) {
		Map<TaskKey, String> refusals = new HashMap<>();
		for (RefusedStart refused : report.getRefusedList()) {
			refusals.put(TaskNames.key(refused.getTask()), refused.getReason());
		}
		for (Placement placement : List.copyOf(host.placements().values())) {
			TaskKey key = placement.task().key();
			boolean gone = switch (placement.phase()) {
				case RECORDING -> false;
				case ORDERED -> report.getHandledOrder() >= placement.order();
				case INHERITED, REPORTED -> true;
			};
			if (!gone || listed.contains(key)) {
				continue;
			}
			lose(host, placement, refusals.getOrDefault(key, "not running"), Evidence.of(report));
		}
	}

	private List<StopOrder> stops(HostState host, HostReport report, long now) {
		List<StopOrder> stops = new ArrayList<>();
		List<RunningTask> present = new ArrayList<>(report.getRunningList());
		present.addAll(report.getPendingList());
		for (RunningTask running : present) {
			TaskKey key = TaskNames.key(running.getTask());
			Placement placement = host.placements().get(key);
			boolean wanted = placement != null && placement.run() == running.getRun() && placement.current()
					&& this.dispatcher.job(key.job()).filter((job) -> !job.state().terminal()).isPresent();
			boolean crawls = wanted && crawling(host, placement);
			if (crawls) {
				host.crowdedFor(placement.task().step().image(), now);
			}
			if (!wanted || stalled(host, placement, now) || crawls) {
				stops.add(StopOrder.newBuilder().setTask(running.getTask()).setRun(running.getRun()).build());
			}
		}
		return stops;
	}

	private boolean hasFreeWorker(HostState host, StepSpecification step) {
		for (HostState other : this.dispatcher.hosts()) {
			if (other != host && this.dispatcher.takesTasks(other) && !other.serves()
					&& other.worker().getService().equals(host.worker().getService())
					&& other.fillerRoom() >= step.milliCores() * DispatchSettings.FILLER_SHARE
					&& other.freeMemoryMegabytes() >= step.memoryMegabytes()) {
				return true;
			}
		}
		return false;
	}

	// Such a run should resume elsewhere: the services beside it bear it only at a crawl,
	// and its progress is kept.
	private boolean crawling(HostState host, Placement placement) {
		RunningTask report = placement.report();
		return report != null && placement.task().step().filler() && placement.task().step().checkpointing()
				&& host.serves() && report.getPace() < DispatchSettings.CRAWLING_PACE
				&& (hasFreeWorker(host, placement.task().step()) || !this.dispatcher.roomy(host.worker().getService()));
	}

	/**
	 * Returns the reported runs of a host that belong to ended jobs.
	 * @param name the name of the host
	 * @return the runs to stop
	 */
	public List<StopOrder> runsOfEndedJobs(String name) {
		List<StopOrder> stops = new ArrayList<>();
		for (Placement placement : this.dispatcher.host(name).placements().values()) {
			TaskKey key = placement.task().key();
			if (this.dispatcher.job(key.job()).filter((job) -> !job.state().terminal()).isEmpty()) {
				stops.add(StopOrder.newBuilder().setTask(TaskNames.name(key)).setRun(placement.run()).build());
			}
		}
		return stops;
	}

	/**
	 * Returns the number of the newest order for a host.
	 * @param name the name of the host
	 * @return the number; 0 if there was none
	 */
	public long newestOrder(String name) {
		return this.dispatcher.host(name).newestOrder();
	}

	/**
	 * Returns the start of the present life of a host's worker.
	 * @param name the name of the host
	 * @return the Unix time in milliseconds; 0 if no worker is known
	 */
	public long workerBorn(String name) {
		return this.dispatcher.host(name).worker().getBorn();
	}

	/**
	 * Returns up to which number the ends of a host are recorded.
	 * @param name the name of the host
	 * @return the number; 0 if there was none
	 */
	public long recordedEnds(String name) {
		return this.dispatcher.host(name).recordedEnds();
	}

	private boolean stalled(HostState host, Placement placement, long now) {
		StepSpecification step = placement.task().step();
		RunningTask report = placement.report();
		if (step.lasting() || step.gang() || report == null || report.getPace() < STALL_MINIMUM_PACE
				|| now - placement.progressNanos() < STALL_TIMEOUT.toNanos()) {
			return false;
		}
		if (host.quarantined(now)) {
			return true;
		}
		host.quarantine(now);
		this.dispatcher.listener()
			.hostChanged(host.name(), "suspected", "task " + placement.task().key() + " stands still at "
					+ report.getProgress() + "% for " + (now - placement.progressNanos()) / 1_000_000 + " ms");
		return true;
	}

	private List<TraitsOfRun> traits(HostState host, HostReport report) {
		List<TraitsOfRun> traits = new ArrayList<>();
		for (RunningTask running : report.getRunningList()) {
			Placement placement = host.placements().get(TaskNames.key(running.getTask()));
			if (placement != null) {
				traits.add(TraitsOfRun.newBuilder()
					.setTask(running.getTask())
					.setRun(running.getRun())
					.setTraits(this.dispatcher.traits(placement.task().step(), host))
					.build());
			}
		}
		return traits;
	}

	/**
	 * A run in a report.
	 *
	 * @param task the task
	 * @param run the number of the run
	 */
	private record ListedRun(TaskKey task, int run) {
	}

	/**
	 * Answer to a report.
	 *
	 * @param leaseStamp the stamp of the report if the lease is extended, otherwise 0
	 * @param recordedEnds ends up to this number are recorded
	 * @param stops runs to stop
	 * @param traits what the agent must know of runs that it did not start itself
	 */
	public record Response(long leaseStamp, long recordedEnds, List<StopOrder> stops, List<TraitsOfRun> traits) {

		private static final Response NONE = new Response(0, 0, List.of(), List.of());

		public Response {
			stops = List.copyOf(stops);
			traits = List.copyOf(traits);
		}

	}

}
