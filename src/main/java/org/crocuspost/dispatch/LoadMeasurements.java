package org.crocuspost.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Collection;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.TreeMap;

import org.crocuspost.time.Clock;

/**
 * Measures the load of the jobs and hosts of a dispatcher, for operators and for the
 * admission of new jobs. Changes nothing in them. Not thread-safe.
 */
public final class LoadMeasurements {

	private final Dispatcher dispatcher;

	private final PlacementPolicy policy;

	private final Clock clock;

	private final AdmissionEstimator admissionEstimator = new AdmissionEstimator();

	LoadMeasurements(Dispatcher dispatcher, PlacementPolicy policy, Clock clock) {
		this.dispatcher = dispatcher;
		this.policy = policy;
		this.clock = clock;
	}

	/**
	 * Returns the work that is waiting and running, by queue.
	 * @return the load of each queue with a job that has not ended
	 */
	public Collection<QueueLoad> byQueue() {
		QueueLoadSurvey survey = new QueueLoadSurvey(this.clock.nanoTime());
		for (TrackedJob tracked : this.dispatcher.trackedJobs()) {
			if (!tracked.job().state().terminal()) {
				this.dispatcher.queueOf(tracked.job()).ifPresent((queue) -> survey.add(tracked, queue));
			}
		}
		this.dispatcher.hosts().forEach((host) -> host.placements().values().forEach(survey::add));
		return survey.loads();
	}

	/**
	 * Returns the tasks of long-running steps that are not known to run, of jobs of which
	 * a task was assigned.
	 * @param conditions what the leader knows about its permission to start tasks
	 * @return the tasks with the reasons
	 */
	public List<UnavailableTask> unavailableTasks(StartConditions conditions) {
		return new UnavailableTaskSurvey(this.dispatcher, conditions, this.clock.nanoTime()).survey();
	}

	/**
	 * Returns the batch jobs of which nothing has been known to run for
	 * {@link UnavailableJobSurvey#MINIMUM_DURATION} although the turn of a task has come.
	 * @param conditions what the leader knows about its permission to start tasks
	 * @return the jobs with the reasons
	 */
	public List<UnavailableJob> unavailableJobs(StartConditions conditions) {
		return new UnavailableJobSurvey(this.dispatcher, conditions, this.clock.nanoTime()).survey();
	}

	/**
	 * Returns the time since waiting tasks were last assigned to workers or were found to
	 * have none.
	 * @return the time since the last pass, or since this leader took over
	 */
	public Duration sinceLastPass() {
		return Duration.ofNanos(this.clock.nanoTime() - this.dispatcher.lastPassNanos());
	}

	/**
	 * Returns the hosts with runs of former leaders that no report has confirmed or ended
	 * yet.
	 * @return the hosts
	 */
	public List<InheritedHost> inheritedHosts() {
		List<InheritedHost> inherited = new ArrayList<>();
		for (HostState host : this.dispatcher.hosts()) {
			int runs = (int) host.placements()
				.values()
				.stream()
				.filter((placement) -> placement.phase() == Placement.Phase.INHERITED)
				.count();
			if (runs > 0) {
				inherited.add(new InheritedHost(host.name(), runs, host.leaseStarted()));
			}
		}
		return inherited;
	}

	/**
	 * Returns the number of workers that accept tasks and run no service. Fillers that
	 * press hard on services run nowhere else.
	 * @return the number of workers
	 */
	public int workersWithoutServices() {
		return (int) this.dispatcher.hosts()
			.stream()
			.filter((host) -> this.dispatcher.schedulable(host) && !host.runsService())
			.count();
	}

	/**
	 * Returns how many workers services occupy, and how few could hold them.
	 * @return the packing of each service with workers that accept tasks
	 */
	public Collection<ServicePacking> servicePackings() {
		ServicePackingSurvey survey = new ServicePackingSurvey();
		this.dispatcher.hosts().stream().filter(this.dispatcher::schedulable).forEach(survey::add);
		return survey.packings();
	}

	/**
	 * Returns the number of workers without services that fillers could fill: those that
	 * there are, and those that the waiting fillers need beyond them.
	 * @return the number of workers
	 */
	public int wantedWorkersWithoutServices() {
		return workersWithoutServices() + this.dispatcher.wantedMoreWorkers();
	}

	/**
	 * Measures the work ahead of a new job. Must be called about once a second, since the
	 * rate at which work is completed is measured between the calls.
	 * @param epoch the epoch of this leader
	 * @param validity the time for which the figures may be used
	 * @return the figures
	 */
	public AdmissionFigures admission(long epoch, Duration validity) {
		Map<String, AdmissionEstimator.IdleCapacity> idle = new HashMap<>();
		for (HostState host : this.dispatcher.hosts()) {
			if (this.dispatcher.schedulable(host)) {
				long forFillers = host.runsService() ? 0 : Math.max(0, (long) host.freeFillerMilliCores());
				idle.merge(host.worker().getService(),
						new AdmissionEstimator.IdleCapacity(Math.max(0, host.freeMilliCores()), forFillers),
						AdmissionEstimator.IdleCapacity::plus);
			}
		}
		AdmissionEstimator.Result result = this.admissionEstimator.survey(this.dispatcher.trackedJobs(),
				this.dispatcher::queueOf,
				(queue, step) -> this.dispatcher.freeWorkerNeeds().test(queue.service(), step), idle,
				this.clock.nanoTime(), this.clock.millis());
		long now = this.clock.millis();
		return new AdmissionFigures(epoch, now, now + validity.toMillis(), result.backlogs(), result.exclusiveImages());
	}

	/**
	 * Returns the number of deferred jobs, which are ranked behind all jobs of use.
	 * @return the number by queue; 0 for a configured queue without deferred jobs
	 */
	public Map<String, Integer> deferredJobs() {
		Map<String, Integer> deferred = new TreeMap<>();
		this.dispatcher.configuration().queues().forEach((queue) -> deferred.put(queue.name(), 0));
		for (TrackedJob tracked : this.dispatcher.trackedJobs()) {
			if (tracked.deferred() && !tracked.job().state().terminal()) {
				deferred.merge(tracked.job().submission().queue(), 1, Integer::sum);
			}
		}
		return deferred;
	}

}
