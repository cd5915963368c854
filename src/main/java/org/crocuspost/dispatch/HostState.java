package org.crocuspost.dispatch;

import java.time.Duration;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.crocuspost.job.StepSpecification;
import org.crocuspost.job.TaskKey;
import org.crocuspost.wire.WorkerDescription;
import org.jspecify.annotations.Nullable;

/**
 * A host with its worker, as the leader knows it. Mutable.
 */
final class HostState {

	private final String name;

	private WorkerDescription worker = WorkerDescription.getDefaultInstance();

	private boolean connected;

	private boolean answers;

	private boolean grantedOnce;

	private long grantNanos;

	private long newestOrder;

	private long seenEnds;

	private long recordedEnds;

	private String life = "";

	private @Nullable Departure departure;

	private final Map<TaskKey, Placement> placements = new LinkedHashMap<>();

	private final Map<TaskKey, StepSpecification> strangers = new LinkedHashMap<>();

	private int failuresInRow;

	private long quarantinedUntilNanos = Long.MIN_VALUE;

	private Duration nextQuarantine = DispatchSettings.SHORTEST_QUARANTINE;

	private final Map<String, Long> crowdedUntilNanos = new HashMap<>();

	private double pressure;

	private double unreportedRise;

	private long riseNanos;

	HostState(String name) {
		this.name = name;
	}

	/**
	 * Notes the end of a run for the reputation of the worker.
	 * @param failed whether the run failed
	 * @param nowNanos the present time
	 * @return whether the worker has just become suspected
	 */
	boolean judge(boolean failed, long nowNanos) {
		if (!failed) {
			this.failuresInRow = 0;
			this.nextQuarantine = DispatchSettings.SHORTEST_QUARANTINE;
			return false;
		}
		this.failuresInRow++;
		if (this.failuresInRow < DispatchSettings.SUSPICIOUS_FAILURES) {
			return false;
		}
		boolean fresh = nowNanos >= this.quarantinedUntilNanos;
		quarantine(nowNanos);
		return fresh;
	}

	/**
	 * Keeps new tasks away for a while, longer each time.
	 * @param nowNanos the present time
	 */
	void quarantine(long nowNanos) {
		if (nowNanos < this.quarantinedUntilNanos) {
			return;
		}
		this.quarantinedUntilNanos = nowNanos + this.nextQuarantine.toNanos();
		Duration doubled = this.nextQuarantine.multipliedBy(2);
		this.nextQuarantine = (doubled.compareTo(DispatchSettings.LONGEST_QUARANTINE) > 0)
				? DispatchSettings.LONGEST_QUARANTINE : doubled;
	}

	boolean quarantined(long nowNanos) {
		return nowNanos < this.quarantinedUntilNanos;
	}

	/**
	 * Notes that a filler was taken off because it only crawled here.
	 * @param image the image of the filler
	 * @param nowNanos the present time
	 */
	void crowdedFor(String image, long nowNanos) {
		this.crowdedUntilNanos.put(image, nowNanos + DispatchSettings.CROWDED.toNanos());
	}

	/**
	 * Says whether fillers of an image crawled here a moment ago.
	 * @param image the image
	 * @param nowNanos the present time
	 * @return true if another one would most likely crawl, too
	 */
	boolean isCrowdedFor(String image, long nowNanos) {
		Long until = this.crowdedUntilNanos.get(image);
		return until != null && nowNanos < until;
	}

	/**
	 * Says whether the worker may get new tasks at all.
	 * @return true if it may
	 */
	boolean open() {
		return this.connected && this.answers && !this.worker.getId().isEmpty() && !this.worker.getDraining()
				&& !this.worker.getLeft();
	}

	int freeMilliCores() {
		int free = this.worker.getMilliCores();
		for (Placement placement : this.placements.values()) {
			free -= placement.task().step().reservedMilliCores();
		}
		for (StepSpecification step : this.strangers.values()) {
			free -= step.reservedMilliCores();
		}
		return free;
	}

	int freeMemoryMegabytes() {
		int free = this.worker.getMemoryMegabytes();
		for (Placement placement : this.placements.values()) {
			free -= placement.task().step().memoryMegabytes();
		}
		for (StepSpecification step : this.strangers.values()) {
			free -= step.memoryMegabytes();
		}
		return free;
	}

	int freeAccelerators() {
		int free = this.worker.getAccelerators();
		for (Placement placement : this.placements.values()) {
			free -= placement.task().step().accelerators();
		}
		for (StepSpecification step : this.strangers.values()) {
			free -= step.accelerators();
		}
		return free;
	}

	/**
	 * Processor that fillers can still use, by what the other tasks are taken to use.
	 * @return thousandths of a core; negative if the fillers already share too little
	 */
	double fillerRoom() {
		double room = this.worker.getMilliCores();
		for (Placement placement : this.placements.values()) {
			StepSpecification step = placement.task().step();
			room -= (step.lasting() && !step.filler()) ? step.milliCores() * DispatchSettings.LASTING_USE
					: step.milliCores();
		}
		return room;
	}

	/**
	 * Says whether a task with a latency target is assigned to the worker.
	 * @return true if fillers would disturb somebody
	 */
	boolean serves() {
		for (Placement placement : this.placements.values()) {
			if (!placement.task().step().tailTarget().isZero()) {
				return true;
			}
		}
		return false;
	}

	int tasksOfStep(TaskKey key) {
		int count = 0;
		for (TaskKey placed : this.placements.keySet()) {
			if (placed.job().equals(key.job()) && placed.step() == key.step()
					&& placed.occurrence() == key.occurrence()) {
				count++;
			}
		}
		for (TaskKey stranger : this.strangers.keySet()) {
			if (stranger.job().equals(key.job()) && stranger.step() == key.step()
					&& stranger.occurrence() == key.occurrence()) {
				count++;
			}
		}
		return count;
	}

	String rack() {
		for (String label : this.worker.getLabelsList()) {
			if (label.startsWith("r")) {
				return label;
			}
		}
		return "";
	}

	Set<String> labels() {
		return new HashSet<>(this.worker.getLabelsList());
	}

	String name() {
		return this.name;
	}

	WorkerDescription worker() {
		return this.worker;
	}

	void worker(WorkerDescription description) {
		this.worker = description;
	}

	boolean sameWorker(WorkerDescription description) {
		return this.worker.getId().equals(description.getId()) && this.worker.getBorn() == description.getBorn();
	}

	void newWorker() {
		this.seenEnds = 0;
		this.recordedEnds = 0;
		this.failuresInRow = 0;
		this.quarantinedUntilNanos = Long.MIN_VALUE;
		this.nextQuarantine = DispatchSettings.SHORTEST_QUARANTINE;
		this.strangers.clear();
		this.crowdedUntilNanos.clear();
	}

	boolean connected() {
		return this.connected;
	}

	void connected(boolean value) {
		this.connected = value;
	}

	void answers(boolean value) {
		this.answers = value;
	}

	boolean grantedOnce() {
		return this.grantedOnce;
	}

	long grantNanos() {
		return this.grantNanos;
	}

	/**
	 * Notes that the agent obeys this leader: no other can extend the lease any more.
	 * @param nowNanos the present time
	 */
	void obeys(long nowNanos) {
		if (!this.grantedOnce) {
			granted(nowNanos);
		}
	}

	Optional<Departure> departure() {
		return Optional.ofNullable(this.departure);
	}

	void departure(Departure value) {
		this.departure = value;
	}

	void granted(long nowNanos) {
		this.grantedOnce = true;
		this.grantNanos = nowNanos;
	}

	long nextOrder() {
		return ++this.newestOrder;
	}

	long newestOrder() {
		return this.newestOrder;
	}

	long seenEnds() {
		return this.seenEnds;
	}

	void seenEnds(long number) {
		this.seenEnds = number;
	}

	long recordedEnds() {
		return this.recordedEnds;
	}

	void recordedEnds(long number) {
		this.recordedEnds = Math.max(this.recordedEnds, number);
	}

	String life() {
		return this.life;
	}

	void life(String value) {
		this.life = value;
	}

	int fillers() {
		int count = 0;
		for (Placement placement : this.placements.values()) {
			count += placement.task().step().filler() ? 1 : 0;
		}
		return count;
	}

	/**
	 * Counts in the pressure of a new filler until the reports show it.
	 * @param rise the expected rise
	 */
	void expectRise(double rise) {
		this.unreportedRise += rise;
	}

	double unreportedRise() {
		return this.unreportedRise;
	}

	/**
	 * Forgets expected rises by and by; a report shows the load of the last half second.
	 * @param nowNanos the present time
	 */
	void fadeExpectedRise(long nowNanos) {
		double elapsed = (nowNanos - this.riseNanos) / (double) DispatchSettings.LOAD_REPORT_SPAN.toNanos();
		this.unreportedRise *= Math.exp(-elapsed);
		this.riseNanos = nowNanos;
	}

	double pressure() {
		return this.pressure;
	}

	void pressure(double value) {
		this.pressure = value;
	}

	Map<TaskKey, Placement> placements() {
		return this.placements;
	}

	Map<TaskKey, StepSpecification> strangers() {
		return this.strangers;
	}

}
