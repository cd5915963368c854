package org.crocuspost.dispatch;

import java.util.HashMap;
import java.util.HashSet;
import java.util.Map;
import java.util.Set;

import org.crocuspost.job.StepSpecification;
import org.crocuspost.job.TaskProgress;
import org.jspecify.annotations.Nullable;

/**
 * Tracks the free resources of one host's worker during a scheduling pass. Mutable, so
 * that a pass does not have to sum up the tasks of each worker again for each task.
 */
final class CandidateHost {

	private final HostState host;

	private final long nowNanos;

	private final Set<String> labels;

	private final String rack;

	private int freeMilliCores;

	private int freeMemoryMegabytes;

	private int freeAccelerators;

	private double freeFillerMilliCores;

	private int trialTasks;

	private int fillers;

	private final Map<String, Double> pendingIncreases = new HashMap<>();

	private @Nullable Map<String, Double> servicePressures;

	private final boolean onProbation;

	private final boolean doubtful;

	private final boolean startPending;

	private final Set<String> jobsStarted = new HashSet<>();

	private int suspects;

	private boolean isolated;

	CandidateHost(HostState host, long nowNanos) {
		this.host = host;
		this.nowNanos = nowNanos;
		this.labels = host.labels();
		this.rack = host.rack();
		this.freeMilliCores = host.freeMilliCores();
		this.freeMemoryMegabytes = host.freeMemoryMegabytes();
		this.freeAccelerators = host.freeAccelerators();
		this.freeFillerMilliCores = host.freeFillerMilliCores();
		this.fillers = host.fillers();
		this.pendingIncreases.putAll(host.unreportedIncreases());
		this.onProbation = host.hasSuspectOnProbation();
		this.doubtful = host.startBackOff().doubtful(nowNanos);
		this.startPending = this.doubtful && host.hasUnlistedStart();
	}

	private CandidateHost(CandidateHost other) {
		this.host = other.host;
		this.nowNanos = other.nowNanos;
		this.labels = other.labels;
		this.rack = other.rack;
		this.freeMilliCores = other.freeMilliCores;
		this.freeMemoryMegabytes = other.freeMemoryMegabytes;
		this.freeAccelerators = other.freeAccelerators;
		this.freeFillerMilliCores = other.freeFillerMilliCores;
		this.fillers = other.fillers;
		this.pendingIncreases.putAll(other.pendingIncreases);
		this.servicePressures = other.servicePressures;
		this.onProbation = other.onProbation;
		this.doubtful = other.doubtful;
		this.startPending = other.startPending;
		this.jobsStarted.addAll(other.jobsStarted);
		this.suspects = other.suspects;
		this.isolated = other.isolated;
	}

	CandidateHost copy() {
		return new CandidateHost(this);
	}

	boolean fits(StepSpecification step) {
		return step.reservedMilliCores() <= this.freeMilliCores && step.memoryMegabytes() <= this.freeMemoryMegabytes
				&& step.accelerators() <= this.freeAccelerators;
	}

	/**
	 * Returns whether the last starts here have led to no run.
	 * @return true if tasks should start elsewhere
	 */
	boolean isDoubtful() {
		return this.doubtful;
	}

	/**
	 * Returns whether the outcome of a start must be known before the next one.
	 * @return true if the last starts here have led to no run and another one is open
	 */
	boolean awaitsStart() {
		return this.doubtful && (this.startPending || !this.jobsStarted.isEmpty());
	}

	/**
	 * Returns whether a task may start here without blurring which task crashes the
	 * worker, if it does. Tasks of one job need not be told apart, since a job is given
	 * up as a whole.
	 * @param task the task
	 * @return false if a suspected task is on probation here, or the task is suspected
	 * and would start together with tasks that it must be told apart from
	 */
	boolean admits(TaskProgress task) {
		if (this.onProbation) {
			return false;
		}
		boolean onlyItsJob = this.jobsStarted.isEmpty()
				|| (this.jobsStarted.size() == 1 && this.jobsStarted.contains(task.key().job()));
		if (this.suspects == 0) {
			return !Suspicion.suspected(task) || onlyItsJob;
		}
		return onlyItsJob || (Suspicion.suspected(task) && !this.isolated && !Suspicion.requiresIsolation(task)
				&& this.suspects < DispatchSettings.MAXIMUM_PROBATION_GROUP);
	}

	/**
	 * Returns whether suspected tasks are on probation here or start in this pass.
	 * @return true if other tasks have to wait
	 */
	boolean hasSuspects() {
		return this.onProbation || this.suspects > 0;
	}

	void reserve(TaskProgress task) {
		StepSpecification step = task.step();
		this.jobsStarted.add(task.key().job());
		this.suspects += Suspicion.suspected(task) ? 1 : 0;
		this.isolated |= Suspicion.requiresIsolation(task);
		this.fillers += step.filler() ? 1 : 0;
		this.freeMilliCores -= step.reservedMilliCores();
		this.freeMemoryMegabytes -= step.memoryMegabytes();
		this.freeAccelerators -= step.accelerators();
		this.freeFillerMilliCores -= (step.lasting() && !step.filler())
				? step.milliCores() * DispatchSettings.LONG_RUNNING_UTILIZATION : step.milliCores();
	}

	/**
	 * Holds resources for a task that starts here once they are free. What is free may
	 * become negative, and nothing else starts then.
	 * @param step the step of the task
	 */
	void holdRoom(StepSpecification step) {
		this.freeMilliCores -= step.reservedMilliCores();
		this.freeMemoryMegabytes -= step.memoryMegabytes();
		this.freeAccelerators -= step.accelerators();
	}

	/**
	 * Returns whether the room that is held is free.
	 * @return false if runs that have not ended still use a part of it
	 */
	boolean hasHeldRoom() {
		return this.freeMilliCores >= 0 && this.freeMemoryMegabytes >= 0 && this.freeAccelerators >= 0;
	}

	/**
	 * Returns the resources of a task that were held, or that a run would free.
	 * @param step the step of the task
	 */
	void releaseRoom(StepSpecification step) {
		this.freeMilliCores += step.reservedMilliCores();
		this.freeMemoryMegabytes += step.memoryMegabytes();
		this.freeAccelerators += step.accelerators();
	}

	/**
	 * Reserves resources in a trial assignment of a gang. The task is not assigned yet,
	 * since the rest of its gang may not fit.
	 * @param task the task
	 */
	void reserveForTrial(TaskProgress task) {
		reserve(task);
		this.trialTasks++;
	}

	/**
	 * Adds the expected pressure of a filler that this pass has placed on the worker,
	 * perhaps only in the trial of a gang.
	 * @param increases the expected increases of the pressure by image of a service
	 */
	void addExpectedIncreases(Map<String, Double> increases) {
		increases.forEach((service, increase) -> this.pendingIncreases.merge(service, increase, Double::sum));
	}

	/**
	 * Returns the services on the worker at the beginning of the pass.
	 * @return the reported pressures by image of a service; negative if not reported
	 */
	Map<String, Double> servicePressures() {
		if (this.servicePressures == null) {
			this.servicePressures = this.host.servicePressures();
		}
		return this.servicePressures;
	}

	/**
	 * Returns whether a filler of an image was recently stopped on the worker for its low
	 * pace.
	 * @param image the image
	 * @return true if another filler of the image would probably be as slow
	 */
	boolean isBackingOff(String image) {
		return this.host.isBackingOff(image, this.nowNanos);
	}

	/**
	 * Returns whether services were moved off the worker a short time ago.
	 * @return true if services should start elsewhere
	 */
	boolean isVacated() {
		return this.host.isVacated(this.nowNanos);
	}

	boolean isUnstable() {
		return this.host.isUnstable(this.nowNanos);
	}

	double pendingIncrease(String service) {
		return this.pendingIncreases.getOrDefault(service, 0.0);
	}

	int fillers() {
		return this.fillers;
	}

	int trialTasks() {
		return this.trialTasks;
	}

	HostState host() {
		return this.host;
	}

	Set<String> labels() {
		return this.labels;
	}

	String rack() {
		return this.rack;
	}

	int freeMilliCores() {
		return this.freeMilliCores;
	}

	int freeMemoryMegabytes() {
		return this.freeMemoryMegabytes;
	}

	int freeAccelerators() {
		return this.freeAccelerators;
	}

	double freeFillerMilliCores() {
		return this.freeFillerMilliCores;
	}

	int capacityMilliCores() {
		return Math.max(1, this.host.worker().getMilliCores());
	}

}
