package org.crocuspost.dispatch;

import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.function.Predicate;

import org.crocuspost.job.StepSpecification;
import org.jspecify.annotations.Nullable;

/**
 * Tries out how workers could be freed of services. Nothing is moved. Mutable.
 *
 * <p>
 * The load pattern is a fleet in which each service has tasks of its own size, and half
 * of the services run a limited number of tasks per worker. Example: five tasks of 5.9
 * cores leave 2.5 cores of a worker with 32 cores unused, and five of 6.2 cores leave
 * one. 13 workers run two tasks each of one service that may have two per worker. None of
 * these two fits on another worker of the thirteen, so looking for a direct fit finds
 * nothing, although two thirds of thirteen workers are unused.
 *
 * <p>
 * A task that fits nowhere is exchanged: it takes the place of a smaller one that fits
 * elsewhere. One exchange for a task bounds the search and the number of moves.
 */
final class PackingTrial {

	private final List<TrialWorker> workers;

	private final Predicate<Placement> movable;

	private final ServiceMoves moves;

	private final int smallestMilliCores;

	private int checksLeft;

	/**
	 * Creates a trial.
	 * @param workers the hosts whose workers run services, with what the pass has left of
	 * their resources
	 * @param movable whether a run may be moved now
	 * @param moves the moves under way
	 * @param maximumChecks the maximum number of pairs of a task and a worker to look at
	 */
	PackingTrial(List<CandidateHost> workers, Predicate<Placement> movable, ServiceMoves moves, int maximumChecks) {
		this.workers = new ArrayList<>(workers.stream().map((worker) -> new TrialWorker(worker)).toList());
		this.movable = movable;
		this.moves = moves;
		this.smallestMilliCores = this.workers.stream()
			.flatMap((worker) -> worker.tasks.stream())
			.mapToInt((placement) -> placement.task().step().reservedMilliCores())
			.min()
			.orElse(0);
		this.checksLeft = maximumChecks;
	}

	/**
	 * Returns whether the trial may look at further workers.
	 * @return false if the maximum number of checks is reached
	 */
	boolean exhausted() {
		return this.checksLeft <= 0;
	}

	/**
	 * Tries to move all services of a worker to the others. The result counts for later
	 * calls; the worker takes no services any more.
	 * @param freed the host of the worker
	 * @param maximumMoves the maximum number of moves
	 * @return the moves; null if the services fit nowhere else
	 */
	@Nullable List<TrialMove> free(CandidateHost freed, int maximumMoves) {
		TrialWorker source = this.workers.stream()
			.filter((worker) -> worker.candidate == freed)
			.findFirst()
			.orElseThrow();
		this.workers.remove(source);
		Map<Placement, Step> steps = new LinkedHashMap<>();
		for (Placement task : largestFirst(source.tasks)) {
			if (!relocate(task, source, steps) || steps.size() > maximumMoves) {
				undo(steps);
				this.workers.add(source);
				return null;
			}
		}
		return steps.values().stream().map((step) -> new TrialMove(step.task, step.to.candidate)).toList();
	}

	/**
	 * Returns whether a run is a short task, which ends before another run is stopped to
	 * move to its worker. Short tasks fill the gaps between services at any time.
	 * @param placement the run
	 * @return true if its room counts as free
	 */
	static boolean endsByItself(Placement placement) {
		StepSpecification step = placement.task().step();
		return !step.lasting() && !step.gang() && !step.filler() && !step.estimate().isZero()
				&& step.estimate().compareTo(DispatchSettings.MAXIMUM_SHORT_TASK) <= 0;
	}

	private static List<Placement> largestFirst(List<Placement> tasks) {
		return tasks.stream()
			.sorted(Comparator.comparingInt((placement) -> -placement.task().step().reservedMilliCores()))
			.toList();
	}

	private boolean relocate(Placement task, TrialWorker source, Map<Placement, Step> steps) {
		TrialWorker direct = bestFit(task, this.workers);
		if (direct != null) {
			move(task, source, direct, steps);
			return true;
		}
		Exchange exchange = bestExchange(task, steps);
		if (exchange == null) {
			return false;
		}
		move(exchange.displaced, exchange.worker, exchange.target, steps);
		move(task, source, exchange.worker, steps);
		return true;
	}

	private void move(Placement task, TrialWorker from, TrialWorker to, Map<Placement, Step> steps) {
		from.remove(task);
		to.add(task);
		steps.put(task, new Step(task, from, to));
	}

	private static void undo(Map<Placement, Step> steps) {
		List<Step> reversed = new ArrayList<>(steps.values());
		for (int index = reversed.size() - 1; index >= 0; index--) {
			Step step = reversed.get(index);
			step.to.remove(step.task);
			step.from.add(step.task);
		}
	}

	private @Nullable TrialWorker bestFit(Placement task, List<TrialWorker> among) {
		TrialWorker best = null;
		for (TrialWorker worker : among) {
			this.checksLeft--;
			if (worker.accepts(task) && (best == null || worker.milliCores < best.milliCores)) {
				best = worker;
			}
		}
		return best;
	}

	private @Nullable Exchange bestExchange(Placement task, Map<Placement, Step> steps) {
		int size = task.task().step().reservedMilliCores();
		List<TrialWorker> targets = this.workers.stream()
			.filter((worker) -> worker.milliCores >= this.smallestMilliCores)
			.toList();
		int largestGap = targets.stream().mapToInt((worker) -> worker.milliCores).max().orElse(0);
		Exchange best = null;
		for (TrialWorker worker : this.workers) {
			for (Placement displaced : worker.tasks) {
				int displacedSize = displaced.task().step().reservedMilliCores();
				if (displacedSize > largestGap || displacedSize >= size || worker.milliCores + displacedSize < size
						|| steps.containsKey(displaced) || !this.movable.test(displaced)
						|| !worker.acceptsInsteadOf(displaced, task)) {
					continue;
				}
				TrialWorker target = bestFit(displaced, targets);
				if (target != null && target != worker) {
					Exchange exchange = new Exchange(displaced, worker, target);
					if (best == null || exchange.unused(task) < best.unused(task)) {
						best = exchange;
					}
				}
			}
			if (exhausted()) {
				break;
			}
		}
		return best;
	}

	/**
	 * A move that was tried out.
	 *
	 * @param task the run to move
	 * @param target the host to which its task moves
	 */
	record TrialMove(Placement task, CandidateHost target) {
	}

	private record Step(Placement task, TrialWorker from, TrialWorker to) {
	}

	/**
	 * A task that makes room for another one.
	 *
	 * @param displaced the task
	 * @param worker the worker on which it runs
	 * @param target the worker to which it moves
	 */
	private record Exchange(Placement displaced, TrialWorker worker, TrialWorker target) {

		private int unused(Placement task) {
			int size = this.displaced.task().step().reservedMilliCores();
			return Math.min(this.target.milliCores - size,
					this.worker.milliCores + size - task.task().step().reservedMilliCores());
		}

	}

	/**
	 * A worker in the trial. Mutable.
	 */
	private final class TrialWorker {

		private final CandidateHost candidate;

		private final List<Placement> tasks = new ArrayList<>();

		private final Map<StepOccurrence, Integer> addedTasks = new HashMap<>();

		private int milliCores;

		private int memoryMegabytes;

		private int accelerators;

		private TrialWorker(CandidateHost candidate) {
			this.candidate = candidate;
			this.milliCores = candidate.freeMilliCores();
			this.memoryMegabytes = candidate.freeMemoryMegabytes();
			this.accelerators = candidate.freeAccelerators();
			for (Placement placement : candidate.host().placements().values()) {
				if (!placement.task().step().tailTarget().isZero()) {
					this.tasks.add(placement);
				}
				else if (endsByItself(placement)) {
					release(placement.task().step());
				}
			}
		}

		private void release(StepSpecification step) {
			this.milliCores += step.reservedMilliCores();
			this.memoryMegabytes += step.memoryMegabytes();
			this.accelerators += step.accelerators();
		}

		private void add(Placement task) {
			StepSpecification step = task.task().step();
			this.milliCores -= step.reservedMilliCores();
			this.memoryMegabytes -= step.memoryMegabytes();
			this.accelerators -= step.accelerators();
			this.tasks.add(task);
			this.addedTasks.merge(StepOccurrence.of(task.task().key()), 1, Integer::sum);
		}

		private void remove(Placement task) {
			release(task.task().step());
			this.tasks.remove(task);
			this.addedTasks.merge(StepOccurrence.of(task.task().key()), -1, Integer::sum);
		}

		private boolean accepts(Placement task) {
			StepSpecification step = task.task().step();
			return step.reservedMilliCores() <= this.milliCores && step.memoryMegabytes() <= this.memoryMegabytes
					&& step.accelerators() <= this.accelerators && permits(task);
		}

		private boolean acceptsInsteadOf(Placement displaced, Placement task) {
			StepSpecification step = task.task().step();
			StepSpecification freed = displaced.task().step();
			return step.reservedMilliCores() <= this.milliCores + freed.reservedMilliCores()
					&& step.memoryMegabytes() <= this.memoryMegabytes + freed.memoryMegabytes()
					&& step.accelerators() <= this.accelerators + freed.accelerators() && permits(task);
		}

		private boolean permits(Placement task) {
			StepSpecification step = task.task().step();
			if (!step.requiredLabel().isEmpty() && !this.candidate.labels().contains(step.requiredLabel())) {
				return false;
			}
			if (step.perWorkerLimit() == 0) {
				return true;
			}
			StepOccurrence occurrence = StepOccurrence.of(task.task().key());
			return this.candidate.host().tasksOfStep(task.task().key())
					+ PackingTrial.this.moves.pendingTasks(this.candidate.host(), occurrence)
					+ this.addedTasks.getOrDefault(occurrence, 0) < step.perWorkerLimit();
		}

	}

}
