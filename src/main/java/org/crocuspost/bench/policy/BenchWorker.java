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
 * A worker of the benchmark with the tasks that run on it.
 */
final class BenchWorker {

	/**
	 * Share of a worker's capacity that is set aside for its service.
	 */
	static final double SERVICE_SHARE = 0.25;

	private final int index;

	private final String name;

	private final String rack;

	private final String domain;

	private final Resources capacity;

	private final Resources forBatch;

	private final Optional<ServiceProfile> service;

	private final ServiceLatencyWindow window;

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
		this.forBatch = this.capacity.minus(service.isPresent() ? share(this.capacity) : Resources.NONE);
		this.window = new ServiceLatencyWindow(clock);
	}

	private static Resources share(Resources capacity) {
		return new Resources((long) (capacity.milliCores() * SERVICE_SHARE),
				(long) (capacity.memoryMebibytes() * SERVICE_SHARE), 0);
	}

	Resources free() {
		return this.forBatch.minus(reserved());
	}

	Resources reserved() {
		return this.tasks.stream().map(BenchTask::reserved).reduce(Resources.NONE, Resources::plus);
	}

	WorkerSnapshot snapshot() {
		Map<String, Integer> jobs = new HashMap<>();
		this.tasks.forEach((task) -> jobs.merge(task.job().name(), 1, Integer::sum));
		return new WorkerSnapshot(this.name, this.rack, this.domain, this.forBatch, free(),
				(int) (this.pressure * 1000), jobs);
	}

	List<ControlledAttempt> running() {
		return this.tasks.stream().map(BenchTask::running).toList();
	}

	void throttle(AttemptKey key, int percent) {
		find(key).ifPresent((task) -> task.percent(percent));
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

	Resources forBatch() {
		return this.forBatch;
	}

	Optional<ServiceProfile> service() {
		return this.service;
	}

	ServiceLatencyWindow window() {
		return this.window;
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
