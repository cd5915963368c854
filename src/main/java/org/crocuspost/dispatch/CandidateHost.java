package org.crocuspost.dispatch;

import java.util.Set;

import org.crocuspost.job.StepSpecification;

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

	private double pendingIncrease;

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
		this.pendingIncrease = host.unreportedIncrease();
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
		this.pendingIncrease = other.pendingIncrease;
	}

	CandidateHost copy() {
		return new CandidateHost(this);
	}

	boolean fits(StepSpecification step) {
		return step.reservedMilliCores() <= this.freeMilliCores && step.memoryMegabytes() <= this.freeMemoryMegabytes
				&& step.accelerators() <= this.freeAccelerators;
	}

	void reserve(StepSpecification step) {
		this.fillers += step.filler() ? 1 : 0;
		this.freeMilliCores -= step.reservedMilliCores();
		this.freeMemoryMegabytes -= step.memoryMegabytes();
		this.freeAccelerators -= step.accelerators();
		this.freeFillerMilliCores -= (step.lasting() && !step.filler())
				? step.milliCores() * DispatchSettings.LONG_RUNNING_UTILIZATION : step.milliCores();
	}

	/**
	 * Reserves resources in a trial assignment of a gang. The task is not assigned yet,
	 * since the rest of its gang may not fit.
	 * @param step the step of the task
	 */
	void reserveForTrial(StepSpecification step) {
		reserve(step);
		this.trialTasks++;
	}

	/**
	 * Adds the expected pressure of a filler that this pass has placed on the worker,
	 * perhaps only in the trial of a gang.
	 * @param increase the expected increase of the pressure
	 */
	void addExpectedIncrease(double increase) {
		this.pendingIncrease += increase;
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

	double pendingIncrease() {
		return this.pendingIncrease;
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

	double freeFillerMilliCores() {
		return this.freeFillerMilliCores;
	}

	int capacityMilliCores() {
		return Math.max(1, this.host.worker().getMilliCores());
	}

}
