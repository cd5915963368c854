package org.crocuspost.scheduler;

import java.util.ArrayList;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.crocuspost.placement.WorkerSnapshot;
import org.crocuspost.platform.worker.AttemptKey;
import org.crocuspost.platform.worker.Resources;
import org.crocuspost.task.TaskRecord;
import org.crocuspost.wire.AttemptReport;
import org.crocuspost.worker.WireResources;

/**
 * Holds the workers that may receive tasks in one scheduling round, with their free
 * capacity. The resources in use on a worker are its service reserve plus those of all
 * attempts that may run there, which are the attempts that the rows assign to it and the
 * attempts that it reports as running. A reported attempt counts with the resources
 * reserved for it, but with its memory in use if that exceeds the reserved memory. An
 * attempt that is both reported and in a row counts once, with the larger amount of each
 * resource.
 */
final class CandidateWorkers {

	private final List<WorkerState> states = new ArrayList<>();

	private final List<WorkerSnapshot> snapshots = new ArrayList<>();

	private final List<List<CachedTask>> rows = new ArrayList<>();

	private final Map<String, Integer> indexes = new HashMap<>();

	void add(WorkerState worker, List<CachedTask> workerRows) {
		this.indexes.put(worker.worker(), this.states.size());
		this.states.add(worker);
		this.rows.add(workerRows);
		this.snapshots.add(snapshot(worker, workerRows));
	}

	private static WorkerSnapshot snapshot(WorkerState worker, List<CachedTask> rows) {
		Map<AttemptKey, Resources> resourcesByAttempt = new HashMap<>();
		Map<String, Integer> tasksByJob = new HashMap<>();
		for (AttemptReport attempt : worker.attempts().values()) {
			if (attempt.getPhase() == AttemptReport.Phase.PHASE_RUNNING) {
				resourcesByAttempt.put(WorkerState.attemptKey(attempt), resourcesOf(attempt));
			}
		}
		for (CachedTask row : rows) {
			TaskRecord task = row.record();
			resourcesByAttempt.merge(task.attemptKey(), task.reserved(), CandidateWorkers::componentwiseMaximum);
			tasksByJob.merge(task.job(), 1, Integer::sum);
		}
		Resources used = resourcesByAttempt.values().stream().reduce(worker.serviceReserve(), Resources::plus);
		return new WorkerSnapshot(worker.worker(), worker.rack(), worker.domain(), worker.capacity(),
				worker.capacity().minus(used), worker.servicePressure(), tasksByJob);
	}

	private static Resources resourcesOf(AttemptReport attempt) {
		Resources reserved = WireResources.fromWire(attempt.getReserved());
		long memory = Math.max(reserved.memoryMebibytes(), attempt.getUsed().getMemoryMebibytes());
		return new Resources(reserved.milliCores(), memory, reserved.accelerators());
	}

	private static Resources componentwiseMaximum(Resources one, Resources other) {
		return new Resources(Math.max(one.milliCores(), other.milliCores()),
				Math.max(one.memoryMebibytes(), other.memoryMebibytes()),
				Math.max(one.accelerators(), other.accelerators()));
	}

	List<WorkerSnapshot> snapshots() {
		return this.snapshots;
	}

	WorkerState state(int index) {
		return this.states.get(index);
	}

	void allocate(int index, String job, Resources resources) {
		this.snapshots.set(index, this.snapshots.get(index).withTask(job, resources));
	}

	List<CachedTask> rows(int index) {
		return this.rows.get(index);
	}

	int index(String worker) {
		return this.indexes.getOrDefault(worker, -1);
	}

	/**
	 * Reserves capacity for an urgent task, so that tasks placed later cannot use it.
	 * @param worker the worker
	 * @param resources the resources to reserve, some of which may still be in use
	 */
	void reserve(String worker, Resources resources) {
		int index = index(worker);
		WorkerSnapshot snapshot = this.snapshots.get(index);
		this.snapshots.set(index,
				new WorkerSnapshot(snapshot.worker(), snapshot.rack(), snapshot.domain(), snapshot.capacity(),
						snapshot.free().minus(resources), snapshot.servicePressure(), snapshot.tasksByJob()));
	}

	boolean anyHasFreeCapacity(Resources resources) {
		return this.snapshots.stream().anyMatch((snapshot) -> resources.fitsInto(snapshot.free()));
	}

	boolean anyLargeEnough(Resources resources) {
		return this.states.stream()
			.anyMatch((state) -> resources.fitsInto(state.capacity().minus(state.serviceReserve())));
	}

	boolean isEmpty() {
		return this.states.isEmpty();
	}

}
