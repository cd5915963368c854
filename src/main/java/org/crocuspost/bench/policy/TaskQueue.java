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
 * Tasks of a run, those that wait in order of arrival.
 */
final class TaskQueue {

	private static final int FAILURES_UNTIL_PROBATION = 3;

	private static final int PROBATION_SECONDS = 120;

	private static final int MOST_STARTS_A_STEP = 100;

	private final List<BenchTask> tasks;

	private final Set<BenchTask> pending = new LinkedHashSet<>();

	private final Map<Integer, Integer> failures = new HashMap<>();

	private final Map<Integer, Integer> probationUntil = new HashMap<>();

	private int arrived;

	TaskQueue(List<BenchTask> tasks) {
		this.tasks = tasks;
	}

	/**
	 * Starts tasks that wait.
	 * @param workers the workers that may take work
	 * @param placement chooses among them
	 * @param step the step
	 */
	void start(List<BenchWorker> workers, PlacementPolicy placement, int step) {
		arrive(step);
		if (this.pending.isEmpty()) {
			return;
		}
		List<BenchWorker> candidates = workers.stream()
			.filter((worker) -> this.probationUntil.getOrDefault(worker.index(), 0) <= step)
			.toList();
		List<WorkerSnapshot> snapshots = new ArrayList<>(candidates.stream().map(BenchWorker::snapshot).toList());
		Set<String> refused = new HashSet<>();
		int starts = 0;
		for (BenchTask task : List.copyOf(this.pending)) {
			if (starts < MOST_STARTS_A_STEP && !refused.contains(task.job().name())) {
				if (place(task, candidates, snapshots, placement)) {
					starts++;
				}
				else {
					refused.add(task.job().name());
				}
			}
		}
	}

	private void arrive(int step) {
		while (this.arrived < this.tasks.size() && this.tasks.get(this.arrived).arrival() <= step) {
			this.pending.add(this.tasks.get(this.arrived));
			this.arrived++;
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
		leave(task);
		task.end(BenchTask.State.DONE);
	}

	void evicted(BenchTask task) {
		leave(task);
		task.evict();
		this.pending.add(task);
	}

	void lost(BenchTask task) {
		leave(task);
		task.lose();
		this.pending.add(task);
	}

	void failed(BenchTask task, int step) {
		int worker = java.util.Objects.requireNonNull(task.worker()).index();
		lost(task);
		if (this.failures.merge(worker, 1, Integer::sum) >= FAILURES_UNTIL_PROBATION) {
			this.failures.remove(worker);
			this.probationUntil.put(worker, step + PROBATION_SECONDS);
		}
	}

	void cancel(String job, int step) {
		for (BenchTask task : this.tasks.subList(0, this.arrived)) {
			if (task.job().name().equals(job) && task.state() == BenchTask.State.PENDING) {
				this.pending.remove(task);
				task.end(BenchTask.State.CANCELLED);
			}
			else if (task.job().name().equals(job) && task.state() == BenchTask.State.RUNNING) {
				leave(task);
				task.end(BenchTask.State.CANCELLED);
			}
		}
	}

	double usefulCoreSeconds() {
		return this.tasks.subList(0, this.arrived)
			.stream()
			.filter((task) -> task.state() != BenchTask.State.CANCELLED)
			.mapToDouble(BenchTask::usefulCoreSeconds)
			.sum();
	}

	private void leave(BenchTask task) {
		BenchWorker worker = task.worker();
		if (worker != null) {
			worker.tasks().remove(task);
		}
	}

}
