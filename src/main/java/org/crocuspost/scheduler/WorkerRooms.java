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
 * Room on the workers of one round. What a worker holds is the sum over the rows that are
 * claimed for it and the attempts that it reports, each with the larger of what is set
 * aside and the memory in use.
 */
final class WorkerRooms {

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
		Map<AttemptKey, Resources> held = new HashMap<>();
		Map<String, Integer> jobs = new HashMap<>();
		for (AttemptReport attempt : worker.attempts().values()) {
			if (attempt.getPhase() == AttemptReport.Phase.PHASE_RUNNING) {
				held.put(WorkerState.key(attempt), heldBy(attempt));
			}
		}
		for (CachedTask row : rows) {
			TaskRecord task = row.record();
			held.merge(task.attemptKey(), task.reserved(), WorkerRooms::larger);
			jobs.merge(task.job(), 1, Integer::sum);
		}
		Resources taken = held.values().stream().reduce(worker.serviceReserve(), Resources::plus);
		return new WorkerSnapshot(worker.worker(), worker.rack(), worker.domain(), worker.capacity(),
				worker.capacity().minus(taken), worker.servicePressure(), jobs);
	}

	private static Resources heldBy(AttemptReport attempt) {
		Resources reserved = WireResources.fromWire(attempt.getReserved());
		long memory = Math.max(reserved.memoryMebibytes(), attempt.getUsed().getMemoryMebibytes());
		return new Resources(reserved.milliCores(), memory, reserved.accelerators());
	}

	private static Resources larger(Resources one, Resources other) {
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

	void take(int index, String job, Resources resources) {
		this.snapshots.set(index, this.snapshots.get(index).withTask(job, resources));
	}

	List<CachedTask> rows(int index) {
		return this.rows.get(index);
	}

	int index(String worker) {
		return this.indexes.getOrDefault(worker, -1);
	}

	/**
	 * Keeps room for an urgent task from all that are placed later.
	 * @param worker the worker
	 * @param resources the room, some of which may still be in use
	 */
	void reserve(String worker, Resources resources) {
		int index = index(worker);
		WorkerSnapshot snapshot = this.snapshots.get(index);
		this.snapshots.set(index,
				new WorkerSnapshot(snapshot.worker(), snapshot.rack(), snapshot.domain(), snapshot.capacity(),
						snapshot.free().minus(resources), snapshot.servicePressure(), snapshot.tasksByJob()));
	}

	boolean fits(Resources resources) {
		return this.snapshots.stream().anyMatch((snapshot) -> resources.fitsInto(snapshot.free()));
	}

	boolean largeEnough(Resources resources) {
		return this.states.stream()
			.anyMatch((state) -> resources.fitsInto(state.capacity().minus(state.serviceReserve())));
	}

	boolean isEmpty() {
		return this.states.isEmpty();
	}

}
