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
 * Chooses tasks to evict so that an urgent task can start. For each worker it selects
 * tasks in order of increasing importance until the urgent task fits, then picks the
 * worker that needs the fewest evictions. The capacity stays reserved until the urgent
 * task is placed there, because otherwise the next waiting task would take the freed
 * capacity and the eviction would be repeated. An unused reservation ends after a
 * timeout.
 */
final class PreemptionPlanner {

	private static final Duration RESERVATION_TIMEOUT = Duration.ofSeconds(10);

	private final Clock clock;

	private final List<CapacityReservation> reservations = new ArrayList<>();

	PreemptionPlanner(Clock clock) {
		this.clock = clock;
	}

	Round beginRound(Configuration configuration, CandidateWorkers candidates) {
		this.reservations.removeIf(
				(reservation) -> reservation.sinceReserved().observerElapsed().compareTo(RESERVATION_TIMEOUT) > 0);
		return new Round(configuration, candidates, new ArrayList<>(this.reservations));
	}

	/**
	 * Plans the preemptions of one scheduling round.
	 */
	final class Round {

		private final Configuration configuration;

		private final CandidateWorkers candidates;

		private final List<CapacityReservation> unusedReservations;

		private final List<CachedTask> victims = new ArrayList<>();

		private final Set<String> victimIds = new HashSet<>();

		private Round(Configuration configuration, CandidateWorkers candidates,
				List<CapacityReservation> unusedReservations) {
			this.configuration = configuration;
			this.candidates = candidates;
			this.unusedReservations = unusedReservations;
		}

		/**
		 * Reserves capacity for an urgent task that fits on no worker. Uses an existing
		 * reservation if one is large enough; otherwise evicts other tasks.
		 * @param job the job of the task
		 * @param size the resources that the task needs
		 * @return true if the capacity is being freed, false if no worker has enough
		 * evictable tasks
		 */
		boolean reserve(JobSpecification job, Resources size) {
			Option<CapacityReservation> matching = Option.ofOptional(this.unusedReservations.stream()
				.filter((reservation) -> size.fitsInto(reservation.resources())
						&& this.candidates.index(reservation.worker()) >= 0)
				.findFirst());
			if (matching.isDefined()) {
				this.unusedReservations.remove(matching.get());
				this.candidates.reserve(matching.get().worker(), size);
				return true;
			}
			return preempt(job, size);
		}

		/**
		 * Releases one reservation on a worker, if there is any, after an urgent task was
		 * placed there.
		 * @param worker the worker
		 */
		void releaseReservation(String worker) {
			Option<CapacityReservation> fulfilled = Option.ofOptional(this.unusedReservations.stream()
				.filter((reservation) -> reservation.worker().equals(worker))
				.findFirst());
			fulfilled.forEach((reservation) -> {
				this.unusedReservations.remove(reservation);
				PreemptionPlanner.this.reservations.remove(reservation);
			});
		}

		List<CachedTask> victims() {
			return this.victims;
		}

		private boolean preempt(JobSpecification job, Resources size) {
			int chosenIndex = -1;
			List<CachedTask> fewestVictims = List.of();
			for (int index = 0; index < this.candidates.snapshots().size(); index++) {
				List<CachedTask> workerVictims = victims(index, job, size);
				if (!workerVictims.isEmpty() && (chosenIndex < 0 || workerVictims.size() < fewestVictims.size())) {
					chosenIndex = index;
					fewestVictims = workerVictims;
				}
			}
			if (chosenIndex < 0) {
				return false;
			}
			String worker = this.candidates.state(chosenIndex).worker();
			this.victims.addAll(fewestVictims);
			fewestVictims.forEach((task) -> this.victimIds.add(task.record().taskId()));
			this.candidates.reserve(worker, size);
			PreemptionPlanner.this.reservations
				.add(new CapacityReservation(worker, size, Stopwatch.start(PreemptionPlanner.this.clock)));
			return true;
		}

		private List<CachedTask> victims(int index, JobSpecification job, Resources size) {
			List<CachedTask> evictableTasks = this.candidates.rows(index)
				.stream()
				.filter((task) -> isEvictable(task.record(), job))
				.sorted(Comparator.comparing((CachedTask task) -> -priority(task.record()))
					.thenComparing((task) -> -task.record().reserved().milliCores()))
				.toList();
			Resources freeAfterEviction = this.candidates.snapshots().get(index).free();
			List<CachedTask> chosen = new ArrayList<>();
			for (CachedTask task : evictableTasks) {
				chosen.add(task);
				freeAfterEviction = freeAfterEviction.plus(task.record().reserved());
				if (size.fitsInto(freeAfterEviction)) {
					return chosen;
				}
			}
			return List.of();
		}

		private boolean isEvictable(TaskRecord task, JobSpecification job) {
			JobSpecification other = this.configuration.jobs().get(task.job());
			boolean mayRun = task.status() == TaskStatus.RUNNING || task.status() == TaskStatus.CLAIMED;
			return mayRun && other != null && !other.urgent() && other.priority() >= job.priority()
					&& !this.victimIds.contains(task.taskId());
		}

		private int priority(TaskRecord task) {
			return this.configuration.jobs().get(task.job()).priority();
		}

	}

}
