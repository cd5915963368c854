package org.crocuspost.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;

import org.crocuspost.job.StepSpecification;
import org.crocuspost.job.TaskKey;
import org.crocuspost.wire.WorkerDescription;
import org.jspecify.annotations.Nullable;

/**
 * Holds the leader's state of a host and its worker. Mutable.
 */
final class HostState {

	/**
	 * Expected increase of a pressure below which it is forgotten.
	 */
	private static final double LEAST_INCREASE = 1e-3;

	private static final double UNREPORTED = -1;

	private final String name;

	private WorkerDescription worker = WorkerDescription.getDefaultInstance();

	private boolean connected;

	private long connections;

	private boolean workerResponds;

	private boolean leaseStarted;

	private long lastExtensionNanos;

	private EvidenceBasis leaseBasis = EvidenceBasis.FORMER_LEADERS;

	private boolean formerLeadersExcluded;

	private long newestOrder;

	private long processedEnds;

	private long recordedEnds;

	private String agentIncarnation = "";

	private @Nullable Departure departure;

	private final Map<TaskKey, Placement> placements = new LinkedHashMap<>();

	private final List<Placement> unresolvedLosses = new ArrayList<>();

	private final Map<TaskKey, StepSpecification> unassignedRuns = new LinkedHashMap<>();

	private final StartBackOff startBackOff = new StartBackOff();

	private int consecutiveFailures;

	private long quarantinedUntilNanos = Long.MIN_VALUE;

	private Duration nextQuarantine = DispatchSettings.MINIMUM_QUARANTINE;

	private final Map<String, Long> backOffUntilNanos = new HashMap<>();

	private long crashRememberedUntilNanos = Long.MIN_VALUE;

	private long unstableUntilNanos = Long.MIN_VALUE;

	private long vacatedUntilNanos = Long.MIN_VALUE;

	private long reportedNanos;

	private double pressure;

	private Map<String, Double> servicePressures = Map.of();

	private final Map<String, Double> unreportedIncreases = new HashMap<>();

	private long increaseUpdatedNanos;

	HostState(String name) {
		this.name = name;
	}

	/**
	 * Records the outcome of a run and quarantines the worker after consecutive failures.
	 * @param failed whether the run failed
	 * @param nowNanos the current time
	 * @return whether the worker is newly suspected to be faulty
	 */
	boolean recordOutcome(boolean failed, long nowNanos) {
		if (!failed) {
			this.consecutiveFailures = 0;
			this.nextQuarantine = DispatchSettings.MINIMUM_QUARANTINE;
			return false;
		}
		this.consecutiveFailures++;
		if (this.consecutiveFailures < DispatchSettings.FAILURES_BEFORE_QUARANTINE) {
			return false;
		}
		boolean newlySuspected = nowNanos >= this.quarantinedUntilNanos;
		quarantine(nowNanos);
		return newlySuspected;
	}

	/**
	 * Excludes the worker from new tasks for a time that doubles with each quarantine, up
	 * to a maximum. Has no effect on a worker that is in quarantine.
	 * @param nowNanos the current time
	 */
	void quarantine(long nowNanos) {
		if (nowNanos < this.quarantinedUntilNanos) {
			return;
		}
		this.quarantinedUntilNanos = nowNanos + this.nextQuarantine.toNanos();
		Duration doubled = this.nextQuarantine.multipliedBy(2);
		this.nextQuarantine = (doubled.compareTo(DispatchSettings.MAXIMUM_QUARANTINE) > 0)
				? DispatchSettings.MAXIMUM_QUARANTINE : doubled;
	}

	boolean quarantined(long nowNanos) {
		return nowNanos < this.quarantinedUntilNanos;
	}

	/**
	 * Returns the experience with recent starts on the worker.
	 * @return the state; mutable
	 */
	StartBackOff startBackOff() {
		return this.startBackOff;
	}

	/**
	 * Returns whether a start was decided or ordered here whose run is not listed yet.
	 * @return true if its outcome is open
	 */
	boolean hasUnlistedStart() {
		for (Placement placement : this.placements.values()) {
			if (!placement.listed() && placement.phase() != Placement.Phase.INHERITED) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Excludes the worker for a time from fillers of an image, after one was stopped here
	 * for its low pace.
	 * @param image the image of the filler
	 * @param nowNanos the current time
	 */
	void backOff(String image, long nowNanos) {
		this.backOffUntilNanos.put(image, nowNanos + DispatchSettings.IMAGE_BACK_OFF.toNanos());
	}

	/**
	 * Returns whether a filler of an image was recently stopped here for its low pace.
	 * @param image the image
	 * @param nowNanos the current time
	 * @return true if another filler of the image would probably be as slow
	 */
	boolean isBackingOff(String image, long nowNanos) {
		Long until = this.backOffUntilNanos.get(image);
		return until != null && nowNanos < until;
	}

	/**
	 * Returns whether the worker can get new tasks at all: its agent is connected and has
	 * reported on this connection, and the worker is known, responds, does not drain and
	 * has not left.
	 * @return true if it can
	 */
	boolean available() {
		return this.connected && this.workerResponds && !this.worker.getId().isEmpty() && !this.worker.getDraining()
				&& !this.worker.getLeft();
	}

	int freeMilliCores() {
		int free = this.worker.getMilliCores();
		for (Placement placement : this.placements.values()) {
			free -= placement.task().step().reservedMilliCores();
		}
		for (StepSpecification step : this.unassignedRuns.values()) {
			free -= step.reservedMilliCores();
		}
		return free;
	}

	int freeMemoryMegabytes() {
		int free = this.worker.getMemoryMegabytes();
		for (Placement placement : this.placements.values()) {
			free -= placement.task().step().memoryMegabytes();
		}
		for (StepSpecification step : this.unassignedRuns.values()) {
			free -= step.memoryMegabytes();
		}
		return free;
	}

	int freeAccelerators() {
		int free = this.worker.getAccelerators();
		for (Placement placement : this.placements.values()) {
			free -= placement.task().step().accelerators();
		}
		for (StepSpecification step : this.unassignedRuns.values()) {
			free -= step.accelerators();
		}
		return free;
	}

	/**
	 * Returns whether the assigned runs need more than the worker has, because it has
	 * shrunk.
	 * @return true if nothing may start
	 */
	boolean overCapacity() {
		return freeMilliCores() < 0 || freeMemoryMegabytes() < 0 || freeAccelerators() < 0;
	}

	/**
	 * Returns the processor capacity that further fillers can use, given the assumed use
	 * of the other tasks.
	 * @return thousandths of a core; negative if the present fillers already get less
	 * than they request
	 */
	double freeFillerMilliCores() {
		double free = this.worker.getMilliCores();
		for (Placement placement : this.placements.values()) {
			StepSpecification step = placement.task().step();
			free -= (step.lasting() && !step.filler()) ? step.milliCores() * DispatchSettings.LONG_RUNNING_UTILIZATION
					: step.milliCores();
		}
		return free;
	}

	/**
	 * Returns the processor capacity that fillers can use in total, given the assumed use
	 * of the other tasks.
	 * @return thousandths of a core
	 */
	double fillerMilliCores() {
		double free = freeFillerMilliCores();
		for (Placement placement : this.placements.values()) {
			StepSpecification step = placement.task().step();
			free += step.filler() ? step.milliCores() : 0;
		}
		return free;
	}

	/**
	 * Returns whether a task with a latency target is assigned to the worker.
	 * @return true if fillers on the worker could slow down a service
	 */
	boolean runsService() {
		for (Placement placement : this.placements.values()) {
			if (!placement.task().step().tailTarget().isZero()) {
				return true;
			}
		}
		return false;
	}

	/**
	 * Returns the runs of tasks with a latency target that are assigned to the worker.
	 * @return the runs
	 */
	List<Placement> services() {
		return this.placements.values()
			.stream()
			.filter((placement) -> !placement.task().step().tailTarget().isZero())
			.toList();
	}

	/**
	 * Records that services are moved off the worker. For a time, they return only if
	 * they fit nowhere else.
	 * @param nowNanos the current time
	 */
	void vacate(long nowNanos) {
		this.vacatedUntilNanos = nowNanos + DispatchSettings.MINIMUM_TIME_BETWEEN_MOVES.toNanos();
	}

	/**
	 * Records that a worker of the host has crashed.
	 * @param nowNanos the current time
	 */
	void recordCrash(long nowNanos) {
		if (nowNanos < this.crashRememberedUntilNanos) {
			this.unstableUntilNanos = nowNanos + DispatchSettings.CRASH_MEMORY.toNanos();
		}
		this.crashRememberedUntilNanos = nowNanos + DispatchSettings.CRASH_MEMORY.toNanos();
	}

	/**
	 * Returns whether workers of the host have crashed repeatedly.
	 * @param nowNanos the current time
	 * @return true if the host itself may be faulty
	 */
	boolean isUnstable(long nowNanos) {
		return nowNanos < this.unstableUntilNanos;
	}

	boolean isVacated(long nowNanos) {
		return nowNanos < this.vacatedUntilNanos;
	}

	/**
	 * Returns whether a task that is suspected to crash workers has just started here.
	 * @return true if nothing else should start on the worker
	 */
	boolean hasSuspectOnProbation() {
		for (Placement placement : this.placements.values()) {
			if (Suspicion.suspected(placement.task()) && placement.onProbation()) {
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
		for (TaskKey unassigned : this.unassignedRuns.keySet()) {
			if (unassigned.job().equals(key.job()) && unassigned.step() == key.step()
					&& unassigned.occurrence() == key.occurrence()) {
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

	void resetForNewWorker() {
		this.processedEnds = 0;
		this.recordedEnds = 0;
		this.consecutiveFailures = 0;
		this.quarantinedUntilNanos = Long.MIN_VALUE;
		this.nextQuarantine = DispatchSettings.MINIMUM_QUARANTINE;
		this.startBackOff.runListed();
		this.unassignedRuns.clear();
		this.backOffUntilNanos.clear();
		this.formerLeadersExcluded = false;
	}

	boolean connected() {
		return this.connected;
	}

	void connected(boolean value) {
		this.connected = value;
	}

	/**
	 * Records that a connection to the agent was opened.
	 */
	void countConnection() {
		this.connections++;
	}

	/**
	 * Returns how many connections to the agent were opened, which is the number of the
	 * present one.
	 * @return the number of connections
	 */
	long connections() {
		return this.connections;
	}

	boolean workerResponds() {
		return this.workerResponds;
	}

	void workerResponds(boolean value) {
		this.workerResponds = value;
	}

	boolean leaseStarted() {
		return this.leaseStarted;
	}

	/**
	 * Returns whether the lease of the worker may have lapsed since the last extension.
	 * Whatever is started then is lost at the next check of the leases.
	 * @param timeout the time after which a lease has lapsed
	 * @param nowNanos the current time
	 * @return true if nothing may start before the next report
	 */
	boolean leaseLapsed(Duration timeout, long nowNanos) {
		return this.leaseStarted && nowNanos - this.lastExtensionNanos > timeout.toNanos();
	}

	EvidenceBasis leaseBasis() {
		return this.leaseBasis;
	}

	long lastExtensionNanos() {
		return this.lastExtensionNanos;
	}

	/**
	 * Returns whether no former leader can extend the leases of the worker any more, so
	 * that they count from the last extension by this leader.
	 * @return false if a former leader may reach a restarted agent that does not know
	 * this leader
	 */
	boolean formerLeadersExcluded() {
		return this.formerLeadersExcluded;
	}

	/**
	 * Records that no former leader can extend the leases of the worker any more. That
	 * holds for the present incarnation of the worker.
	 */
	void excludeFormerLeaders() {
		this.formerLeadersExcluded = true;
	}

	/**
	 * Counts the lease from what a report of the agent tells of the extensions by former
	 * leaders, unless this leader has extended it later.
	 * @param basisNanos the time from which the extensions that former leaders have sent
	 * until this report last for one lease duration at most
	 */
	void countFormerExtensions(long basisNanos) {
		if (!this.leaseStarted || basisNanos > this.lastExtensionNanos) {
			extendLease(basisNanos);
			this.leaseBasis = EvidenceBasis.FIRST_REPORT;
		}
	}

	Optional<Departure> departure() {
		return Optional.ofNullable(this.departure);
	}

	void departure(Departure value) {
		this.departure = value;
	}

	void extendLease(long nowNanos) {
		this.leaseStarted = true;
		this.lastExtensionNanos = nowNanos;
		this.leaseBasis = EvidenceBasis.LEASE_EXTENSION;
	}

	long nextOrderNumber() {
		return ++this.newestOrder;
	}

	long newestOrder() {
		return this.newestOrder;
	}

	long processedEnds() {
		return this.processedEnds;
	}

	void processedEnds(long number) {
		this.processedEnds = number;
	}

	long recordedEnds() {
		return this.recordedEnds;
	}

	void recordedEnds(long number) {
		this.recordedEnds = Math.max(this.recordedEnds, number);
	}

	String agentIncarnation() {
		return this.agentIncarnation;
	}

	void agentIncarnation(String value) {
		this.agentIncarnation = value;
	}

	int fillers() {
		int count = 0;
		for (Placement placement : this.placements.values()) {
			count += placement.task().step().filler() ? 1 : 0;
		}
		return count;
	}

	int fillersOf(String image) {
		int count = 0;
		for (Placement placement : this.placements.values()) {
			StepSpecification step = placement.task().step();
			count += (step.filler() && step.image().equals(image)) ? 1 : 0;
		}
		return count;
	}

	/**
	 * Adds the expected pressure of a new filler until the reports show it.
	 * @param increases the expected increases of the pressure by image of a service
	 */
	void addExpectedIncreases(Map<String, Double> increases) {
		increases.forEach((service, increase) -> this.unreportedIncreases.merge(service, increase, Double::sum));
	}

	/**
	 * Returns the expected increases that the reports do not show yet.
	 * @return the increases by image of a service
	 */
	Map<String, Double> unreportedIncreases() {
		return this.unreportedIncreases;
	}

	/**
	 * Lets the expected increases decay exponentially, since the reports gradually
	 * include them: a report covers the load of the last half second.
	 * @param nowNanos the current time
	 */
	void decayExpectedIncreases(long nowNanos) {
		double elapsed = (nowNanos - this.increaseUpdatedNanos)
				/ (double) DispatchSettings.LOAD_REPORT_WINDOW.toNanos();
		double rest = Math.exp(-elapsed);
		this.unreportedIncreases.replaceAll((service, increase) -> increase * rest);
		this.unreportedIncreases.values().removeIf((increase) -> increase < LEAST_INCREASE);
		this.increaseUpdatedNanos = nowNanos;
	}

	/**
	 * Returns the services on the worker with their pressures in the last report.
	 * @return the worst pressure by image of a service; negative for a service that was
	 * not reported yet
	 */
	Map<String, Double> servicePressures() {
		Map<String, Double> pressures = new HashMap<>();
		for (Placement placement : this.placements.values()) {
			StepSpecification step = placement.task().step();
			if (!step.tailTarget().isZero()) {
				pressures.put(step.image(), this.servicePressures.getOrDefault(step.image(), UNREPORTED));
			}
		}
		return pressures;
	}

	/**
	 * Returns the time of the last report that described the worker.
	 * @return the time in nanoseconds of the process clock
	 */
	long reportedNanos() {
		return this.reportedNanos;
	}

	void reportedNanos(long value) {
		this.reportedNanos = value;
	}

	double pressure() {
		return this.pressure;
	}

	/**
	 * Records the pressures of a report.
	 * @param pressures the worst pressure by image of a service
	 */
	void servicePressures(Map<String, Double> pressures) {
		this.servicePressures = Map.copyOf(pressures);
		this.pressure = pressures.values().stream().mapToDouble(Double::doubleValue).max().orElse(0);
	}

	Map<TaskKey, Placement> placements() {
		return this.placements;
	}

	/**
	 * Returns the runs whose lease has lapsed, until a report shows whether their worker
	 * has crashed.
	 * @return the runs; mutable
	 */
	List<Placement> unresolvedLosses() {
		return this.unresolvedLosses;
	}

	Map<TaskKey, StepSpecification> unassignedRuns() {
		return this.unassignedRuns;
	}

}
