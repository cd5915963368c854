package org.crocuspost.lead;

import java.time.Duration;
import java.util.concurrent.TimeUnit;

import io.prometheus.metrics.core.metrics.Counter;
import io.prometheus.metrics.core.metrics.Gauge;
import io.prometheus.metrics.core.metrics.Histogram;
import io.prometheus.metrics.model.registry.PrometheusRegistry;
import org.crocuspost.dispatch.RefusalKind;
import org.crocuspost.dispatch.UnavailabilityReason;

/**
 * Metrics of leader election and of the leader's decisions.
 */
public final class LeaderMetrics {

	private final Counter jobsEnded;

	private final Counter runsEnded;

	private final Counter runsStopped;

	private final Counter hostChanges;

	private final Counter workerCrashes;

	private final Histogram placementSeconds;

	private final Histogram jobStartSeconds;

	private final Gauge unavailableTasks;

	private final Histogram unavailableSeconds;

	private final Gauge unavailableJobs;

	private final Counter refusedStarts;

	private final Gauge stateRestored;

	private final Gauge deferredJobs;

	private final Gauge leader;

	private final Gauge workersWithoutServices;

	private final Gauge wantedWorkersWithoutServices;

	/**
	 * Registers the metrics.
	 * @param registry the registry of the process
	 */
	public LeaderMetrics(PrometheusRegistry registry) {
		this.jobsEnded = Counter.builder()
			.name("crocuspost_jobs_ended_total")
			.help("Jobs that ended, by state.")
			.labelNames("state")
			.register(registry);
		this.runsEnded = Counter.builder()
			.name("crocuspost_runs_ended_total")
			.help("Runs of tasks that ended, were refused or were lost, by outcome.")
			.labelNames("outcome")
			.register(registry);
		this.runsStopped = Counter.builder()
			.name("crocuspost_runs_stopped_total")
			.help("Runs that the leader stopped although their job went on, by reason and whether within two seconds.")
			.labelNames("reason", "early")
			.register(registry);
		this.hostChanges = Counter.builder()
			.name("crocuspost_host_changes_total")
			.help("Changes of what the leader believes of hosts, by belief.")
			.labelNames("belief")
			.register(registry);
		this.workerCrashes = Counter.builder()
			.name("crocuspost_worker_crashes_total")
			.help("Workers that crashed while tasks were assigned to them.")
			.register(registry);
		this.placementSeconds = Histogram.builder()
			.name("crocuspost_placement_wait_seconds")
			.help("Time from the acceptance of a job to the assignment of a task of it, in seconds.")
			.classicOnly()
			.classicUpperBounds(0.02, 0.05, 0.1, 0.3, 1, 3, 10, 30)
			.register(registry);
		this.jobStartSeconds = Histogram.builder()
			.name("crocuspost_job_start_seconds")
			.help("Time from the first assignment of a task of a job to the report that a task has begun, in seconds.")
			.classicOnly()
			.classicUpperBounds(0.02, 0.05, 0.1, 0.3, 1, 3, 10, 30)
			.register(registry);
		this.workersWithoutServices = Gauge.builder()
			.name("crocuspost_workers_without_services")
			.help("Workers that accept tasks and run no service, as this process last saw them as leader.")
			.register(registry);
		this.wantedWorkersWithoutServices = Gauge.builder()
			.name("crocuspost_workers_without_services_wanted")
			.help("Workers without services that present and waiting fillers could fill.")
			.register(registry);
		this.unavailableTasks = Gauge.builder()
			.name("crocuspost_unavailable_tasks")
			.help("Long-running tasks that are not known to run, by what the leader waits for.")
			.labelNames("reason")
			.register(registry);
		this.unavailableSeconds = Histogram.builder()
			.name("crocuspost_task_unavailable_seconds")
			.help("Time from the end or loss of a run of a long-running task to the first report that lists its next "
					+ "run, in seconds. If inherited, it counts from the moment at which this leader read the task.")
			.labelNames("inherited")
			.classicOnly()
			.classicUpperBounds(0.3, 1, 3, 7, 10, 20, 30)
			.register(registry);
		this.unavailableJobs = gauge(registry, "crocuspost_unavailable_jobs",
				"Batch jobs of which nothing was known to run for three seconds although the turn of a task had come, "
						+ "by what the leader waits for.",
				"reason");
		this.refusedStarts = Counter.builder()
			.name("crocuspost_starts_refused_total")
			.help("Starts that the agent or the worker refused, by kind of the reason.")
			.labelNames("reason")
			.register(registry);
		this.stateRestored = gauge(registry, "crocuspost_leader_state_restored",
				"1 while this process leads and has read the jobs and hosts from the store, otherwise 0.");
		this.deferredJobs = gauge(registry, "crocuspost_deferred_jobs", "Jobs ranked behind all jobs of use, by queue.",
				"queue");
		this.leader = Gauge.builder()
			.name("crocuspost_leader")
			.help("1 while this process leads, otherwise 0.")
			.register(registry);
	}

	private static Gauge gauge(PrometheusRegistry registry, String name, String help, String... labels) {
		return Gauge.builder().name(name).help(help).labelNames(labels).register(registry);
	}

	void jobEnded(String state) {
		this.jobsEnded.labelValues(state).inc();
	}

	void runEnded(String outcome) {
		this.runsEnded.labelValues(outcome).inc();
	}

	void runStopped(String reason, boolean early) {
		this.runsStopped.labelValues(reason, String.valueOf(early)).inc();
	}

	void hostChanged(String state) {
		this.hostChanges.labelValues(state).inc();
	}

	void workerCrashed() {
		this.workerCrashes.inc();
	}

	void placed(long waitedMillis) {
		this.placementSeconds.observe(waitedMillis / (double) TimeUnit.SECONDS.toMillis(1));
	}

	void jobStarted(Duration sinceAssigned) {
		this.jobStartSeconds.observe(sinceAssigned.toNanos() / (double) TimeUnit.SECONDS.toNanos(1));
	}

	void unavailableTasks(UnavailabilityReason reason, long number) {
		this.unavailableTasks.labelValues(reason.label()).set(number);
	}

	void unavailableJobs(UnavailabilityReason reason, long number) {
		this.unavailableJobs.labelValues(reason.label()).set(number);
	}

	void startRefused(RefusalKind kind) {
		this.refusedStarts.labelValues(kind.label()).inc();
	}

	void setStateRestored(boolean restored) {
		this.stateRestored.set(restored ? 1 : 0);
	}

	void taskRegained(Duration unavailable, boolean inherited) {
		this.unavailableSeconds.labelValues(String.valueOf(inherited))
			.observe(unavailable.toNanos() / (double) TimeUnit.SECONDS.toNanos(1));
	}

	void workersWithoutServices(int actual, int wanted) {
		this.workersWithoutServices.set(actual);
		this.wantedWorkersWithoutServices.set(wanted);
	}

	void deferredJobs(String queue, int number) {
		this.deferredJobs.labelValues(queue).set(number);
	}

	void setLeader(boolean leading) {
		this.leader.set(leading ? 1 : 0);
	}

}
