package org.crocuspost.scheduler;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashSet;
import java.util.List;
import java.util.Set;

import io.vavr.control.Option;
import org.crocuspost.configuration.Configuration;
import org.crocuspost.configuration.JobSpecification;
import org.crocuspost.platform.worker.Resources;
import org.crocuspost.task.TaskRecord;
import org.crocuspost.task.TaskStatus;
import org.crocuspost.time.Clock;
import org.crocuspost.time.Stopwatch;

/**
 * Chooses tasks to evict so that an urgent task can start. On each worker it takes the
 * least important tasks first until there is room, then picks the worker where that costs
 * the fewest evictions. The room is held until the urgent task has taken it, because
 * otherwise the next waiting task would take what was freed and the eviction would be
 * repeated.
 */
final class PreemptionPlanner {

	private static final Duration HOLD_TIME = Duration.ofSeconds(10);

	private final Clock clock;

	private final List<Hold> holds = new ArrayList<>();

	PreemptionPlanner(Clock clock) {
		this.clock = clock;
	}

	Round begin(Configuration configuration, WorkerRooms rooms) {
		this.holds.removeIf((hold) -> hold.start().observerElapsed().compareTo(HOLD_TIME) > 0);
		return new Round(configuration, rooms, new ArrayList<>(this.holds));
	}

	/**
	 * The preemptions of one round.
	 */
	final class Round {

		private final Configuration configuration;

		private final WorkerRooms rooms;

		private final List<Hold> unused;

		private final List<CachedTask> victims = new ArrayList<>();

		private final Set<String> victimIds = new HashSet<>();

		private Round(Configuration configuration, WorkerRooms rooms, List<Hold> unused) {
			this.configuration = configuration;
			this.rooms = rooms;
			this.unused = unused;
		}

		/**
		 * Holds room for an urgent task that found no worker.
		 * @param job the job of the task
		 * @param size the room that the task needs
		 * @return true if the room is or will be freed
		 */
		boolean hold(JobSpecification job, Resources size) {
			Option<Hold> held = Option.ofOptional(this.unused.stream()
				.filter((hold) -> size.fitsInto(hold.resources()) && this.rooms.index(hold.worker()) >= 0)
				.findFirst());
			if (held.isDefined()) {
				this.unused.remove(held.get());
				this.rooms.reserve(held.get().worker(), size);
				return true;
			}
			return preempt(job, size);
		}

		/**
		 * Notes that an urgent task was placed.
		 * @param worker the worker
		 */
		void placed(String worker) {
			Option<Hold> used = Option
				.ofOptional(this.unused.stream().filter((hold) -> hold.worker().equals(worker)).findFirst());
			used.forEach((hold) -> {
				this.unused.remove(hold);
				PreemptionPlanner.this.holds.remove(hold);
			});
		}

		List<CachedTask> victims() {
			return this.victims;
		}

		private boolean preempt(JobSpecification job, Resources size) {
			int bestIndex = -1;
			List<CachedTask> best = List.of();
			for (int index = 0; index < this.rooms.snapshots().size(); index++) {
				List<CachedTask> candidate = victims(index, job, size);
				if (!candidate.isEmpty() && (bestIndex < 0 || candidate.size() < best.size())) {
					bestIndex = index;
					best = candidate;
				}
			}
			if (bestIndex < 0) {
				return false;
			}
			String worker = this.rooms.state(bestIndex).worker();
			this.victims.addAll(best);
			best.forEach((task) -> this.victimIds.add(task.record().taskId()));
			this.rooms.reserve(worker, size);
			PreemptionPlanner.this.holds.add(new Hold(worker, size, Stopwatch.start(PreemptionPlanner.this.clock)));
			return true;
		}

		private List<CachedTask> victims(int index, JobSpecification job, Resources size) {
			List<CachedTask> candidates = this.rooms.rows(index)
				.stream()
				.filter((task) -> evictable(task.record(), job))
				.sorted(Comparator.comparing((CachedTask task) -> -priority(task.record()))
					.thenComparing((task) -> -task.record().reserved().milliCores()))
				.toList();
			Resources room = this.rooms.snapshots().get(index).free();
			List<CachedTask> chosen = new ArrayList<>();
			for (CachedTask task : candidates) {
				chosen.add(task);
				room = room.plus(task.record().reserved());
				if (size.fitsInto(room)) {
					return chosen;
				}
			}
			return List.of();
		}

		private boolean evictable(TaskRecord task, JobSpecification job) {
			JobSpecification other = this.configuration.jobs().get(task.job());
			boolean runs = task.status() == TaskStatus.RUNNING || task.status() == TaskStatus.CLAIMED;
			return runs && other != null && !other.urgent() && other.priority() >= job.priority()
					&& !this.victimIds.contains(task.taskId());
		}

		private int priority(TaskRecord task) {
			return this.configuration.jobs().get(task.job()).priority();
		}

	}

}
