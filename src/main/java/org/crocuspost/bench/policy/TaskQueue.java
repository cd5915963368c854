package org.crocuspost.bench.policy;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.HashSet;
import java.util.LinkedHashSet;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.Set;

import org.crocuspost.placement.PlacementPolicy;
import org.crocuspost.placement.PlacementRequest;
import org.crocuspost.placement.WorkerSnapshot;
import org.crocuspost.platform.worker.Resources;

/**
 * Tasks of a benchmark run with the queue of pending tasks, in order of arrival. A worker
 * on which several tasks failed gets no new tasks for a probation period.
 */
final class TaskQueue {

	private static final int FAILURES_UNTIL_PROBATION = 3;

	private static final int PROBATION_SECONDS = 120;

	private static final int MAX_STARTS_PER_STEP = 100;

	private final List<BenchTask> tasks;

	private final Set<BenchTask> pending = new LinkedHashSet<>();

	private final Map<Integer, Integer> failuresByWorker = new HashMap<>();

	private final Map<Integer, Integer> probationEndByWorker = new HashMap<>();

	private int arrivedCount;

	TaskQueue(List<BenchTask> tasks) {
		this.tasks = tasks;
	}

	/**
	 * Starts pending tasks on workers.
	 * @param workers the workers on which tasks may start
	 * @param placement the policy that chooses among the workers
	 * @param step the current simulation step
	 */
	void startPending(List<BenchWorker> workers, PlacementPolicy placement, int step) {
		addArrivals(step);
		if (this.pending.isEmpty()) {
			return;
		}
		List<BenchWorker> candidates = workers.stream()
			.filter((worker) -> this.probationEndByWorker.getOrDefault(worker.index(), 0) <= step)
			.toList();
		List<WorkerSnapshot> snapshots = new ArrayList<>(candidates.stream().map(BenchWorker::snapshot).toList());
		Set<String> unplaceableJobs = new HashSet<>();
		int starts = 0;
		for (BenchTask task : List.copyOf(this.pending)) {
			if (starts < MAX_STARTS_PER_STEP && !unplaceableJobs.contains(task.job().name())) {
				if (place(task, candidates, snapshots, placement)) {
					starts++;
				}
				else {
					unplaceableJobs.add(task.job().name());
				}
			}
		}
	}

	private void addArrivals(int step) {
		while (this.arrivedCount < this.tasks.size() && this.tasks.get(this.arrivedCount).arrivalStep() <= step) {
			this.pending.add(this.tasks.get(this.arrivedCount));
			this.arrivedCount++;
		}
	}

	private boolean place(BenchTask task, List<BenchWorker> candidates, List<WorkerSnapshot> snapshots,
			PlacementPolicy placement) {
		Resources size = task.job().specification().size();
		OptionalInt choice = placement.choose(new PlacementRequest(task.job().specification(), size), snapshots);
		if (choice.isEmpty()) {
			return false;
		}
		int index = choice.getAsInt();
		BenchWorker worker = candidates.get(index);
		snapshots.set(index, snapshots.get(index).withTask(task.job().name(), size));
		this.pending.remove(task);
		task.start(worker, size);
		worker.tasks().add(task);
		return true;
	}

	void done(BenchTask task) {
		removeFromWorker(task);
		task.finish(BenchTask.State.DONE);
	}

	void evicted(BenchTask task) {
		removeFromWorker(task);
		task.evict();
		this.pending.add(task);
	}

	void lost(BenchTask task) {
		removeFromWorker(task);
		task.resetToCheckpoint();
		this.pending.add(task);
	}

	void failed(BenchTask task, int step) {
		int worker = java.util.Objects.requireNonNull(task.worker()).index();
		lost(task);
		if (this.failuresByWorker.merge(worker, 1, Integer::sum) >= FAILURES_UNTIL_PROBATION) {
			this.failuresByWorker.remove(worker);
			this.probationEndByWorker.put(worker, step + PROBATION_SECONDS);
		}
	}

	void cancel(String job, int step) {
		for (BenchTask task : this.tasks.subList(0, this.arrivedCount)) {
			if (task.job().name().equals(job) && task.state() == BenchTask.State.PENDING) {
				this.pending.remove(task);
				task.finish(BenchTask.State.CANCELLED);
			}
			else if (task.job().name().equals(job) && task.state() == BenchTask.State.RUNNING) {
				removeFromWorker(task);
				task.finish(BenchTask.State.CANCELLED);
			}
		}
	}

	double usefulCoreSeconds() {
		return this.tasks.subList(0, this.arrivedCount)
			.stream()
			.filter((task) -> task.state() != BenchTask.State.CANCELLED)
			.mapToDouble(BenchTask::usefulCoreSeconds)
			.sum();
	}

	private void removeFromWorker(BenchTask task) {
		BenchWorker worker = task.worker();
		if (worker != null) {
			worker.tasks().remove(task);
		}
	}

}
