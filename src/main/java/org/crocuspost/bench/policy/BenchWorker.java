package org.crocuspost.bench.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;

import org.crocuspost.interference.ControlledAttempt;
import org.crocuspost.interference.ServiceLatencyWindow;
import org.crocuspost.placement.WorkerSnapshot;
import org.crocuspost.platform.worker.AttemptKey;
import org.crocuspost.platform.worker.Resources;
import org.crocuspost.time.Clock;

/**
 * A simulated worker and the batch tasks that run on it. The pressure of a worker is the
 * tail latency of its service divided by the objective; 0 without a service.
 */
final class BenchWorker {

	/**
	 * Share of the capacity of a worker that is reserved for its service.
	 */
	static final double SERVICE_SHARE = 0.25;

	private final int index;

	private final String name;

	private final String rack;

	private final String domain;

	private final Resources capacity;

	private final Resources batchCapacity;

	private final Optional<ServiceProfile> service;

	private final ServiceLatencyWindow latencyWindow;

	private final List<BenchTask> tasks = new ArrayList<>();

	private boolean up = true;

	private double pressure;

	BenchWorker(int index, Deployment deployment, Optional<ServiceProfile> service, Clock clock) {
		this.index = index;
		this.name = "worker-" + index;
		this.rack = "rack-" + index / deployment.workersPerRack();
		this.domain = deployment.domains().get(index / deployment.workersPerRack() % deployment.domains().size());
		this.capacity = deployment.capacity();
		this.service = service;
		this.batchCapacity = this.capacity
			.minus(service.isPresent() ? serviceReservation(this.capacity) : Resources.NONE);
		this.latencyWindow = new ServiceLatencyWindow(clock);
	}

	private static Resources serviceReservation(Resources capacity) {
		return new Resources((long) (capacity.milliCores() * SERVICE_SHARE),
				(long) (capacity.memoryMebibytes() * SERVICE_SHARE), 0);
	}

	Resources free() {
		return this.batchCapacity.minus(reserved());
	}

	Resources reserved() {
		return this.tasks.stream().map(BenchTask::reserved).reduce(Resources.NONE, Resources::plus);
	}

	WorkerSnapshot snapshot() {
		Map<String, Integer> tasksByJob = new HashMap<>();
		this.tasks.forEach((task) -> tasksByJob.merge(task.job().name(), 1, Integer::sum));
		return new WorkerSnapshot(this.name, this.rack, this.domain, this.batchCapacity, free(),
				(int) (this.pressure * 1000), tasksByJob);
	}

	List<ControlledAttempt> controlledAttempts() {
		return this.tasks.stream().map(BenchTask::controlledAttempt).toList();
	}

	void throttle(AttemptKey key, int percent) {
		find(key).ifPresent((task) -> task.sharePercent(percent));
	}

	Optional<BenchTask> find(AttemptKey key) {
		return this.tasks.stream().filter((task) -> task.key().equals(key)).findFirst();
	}

	double cores() {
		return this.capacity.milliCores() / 1000.0;
	}

	int index() {
		return this.index;
	}

	String name() {
		return this.name;
	}

	String rack() {
		return this.rack;
	}

	String domain() {
		return this.domain;
	}

	Resources capacity() {
		return this.capacity;
	}

	Resources batchCapacity() {
		return this.batchCapacity;
	}

	Optional<ServiceProfile> service() {
		return this.service;
	}

	ServiceLatencyWindow latencyWindow() {
		return this.latencyWindow;
	}

	List<BenchTask> tasks() {
		return this.tasks;
	}

	boolean up() {
		return this.up;
	}

	void up(boolean newUp) {
		this.up = newUp;
	}

	double pressure() {
		return this.pressure;
	}

	void pressure(double newPressure) {
		this.pressure = newPressure;
	}

}
