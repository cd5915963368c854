package org.crocuspost.dispatch;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;

import org.crocuspost.job.JobProgress;
import org.crocuspost.job.JobSpecification;
import org.crocuspost.job.Queue;
import org.crocuspost.job.StepSpecification;
import org.crocuspost.job.TaskProgress;
import org.crocuspost.job.TaskStatus;

/**
 * Selects the jobs of fillers that get capacity while there is less than they need.
 *
 * <p>
 * Load pattern: jobs arrive faster than the workers can run them, and some images press
 * hard on the services of nearly all workers, so that they run only on workers without
 * services, of which there are few. In the order of the remaining work alone, a job runs
 * its light first step, waits for such a worker until its result is of no use, and its
 * finished tasks are lost work.
 *
 * <p>
 * The selection goes through the jobs of a service in the order of their remaining work
 * in relation to their value, where work on the scarcer kind of capacity weighs more. A
 * job that could end in time behind the jobs selected before it is selected. Of the
 * others, those that could end while of use follow. The rest is deferred: ranked behind
 * all jobs of use, but not excluded, so that no capacity stays idle.
 *
 * <p>
 * Applies to jobs of queues with a priority above 0 whose tasks are all fillers. All
 * other jobs keep their rank, and so do all jobs while the capacity is unknown.
 */
final class JobSelection {

	private static final int ENDS_AS_RANKED = 0;

	private static final int ENDS_LATE = 1;

	/**
	 * Maximum weight of work on workers without services, reached if there are none.
	 */
	private static final double MAXIMUM_HEAVY_WEIGHT = 2;

	/**
	 * Share of its remaining time in which a deferred job must be able to end to be
	 * selected again. Below 1, so that a job does not change its class with each report.
	 */
	private static final double RESUMING_SHARE = 0.9;

	/**
	 * Share of the work of a running task that counts as remaining, since the progress at
	 * any moment is on average half.
	 */
	private static final double RUNNING_SHARE = 0.5;

	/**
	 * Age from which the oldest deferred job of a service is ranked with those in time,
	 * so that it ends however long the overload lasts. One job at a time costs the others
	 * little.
	 */
	static final Duration MAXIMUM_DEFERRAL = Duration.ofSeconds(60);

	private static final double NANOS = 1e9;

	/**
	 * Avoids a division by zero if there is no capacity.
	 */
	private static final double LEAST_CORES = 1e-3;

	private final FreeWorkerNeeds freeWorkerNeeds;

	private final DispatchListener listener;

	JobSelection(FreeWorkerNeeds freeWorkerNeeds, DispatchListener listener) {
		this.freeWorkerNeeds = freeWorkerNeeds;
		this.listener = listener;
	}

	/**
	 * Orders the waiting jobs. The ranks of the selection replace those of the jobs.
	 * @param waiting the jobs with their queues and their ranks by {@link WaitingOrder}
	 * @param capacities the known capacity by service
	 * @param nowNanos the current time
	 * @return the jobs, the first to be served first
	 */
	List<TrackedJob> order(List<WaitingJob> waiting, Map<String, FillerCapacity> capacities, long nowNanos) {
		Map<String, List<Contender>> contenders = new HashMap<>();
		for (WaitingJob job : waiting) {
			FillerCapacity capacity = capacities.get(job.queue().service());
			if (!applies(job)) {
				continue;
			}
			if (capacity == null) {
				job.tracked().deferred(false);
				continue;
			}
			contenders.computeIfAbsent(job.queue().service(), (service) -> new ArrayList<>())
				.add(contender(job, nowNanos));
		}
		contenders.forEach((service, jobs) -> select(jobs, capacities.get(service), nowNanos));
		List<TrackedJob> ordered = new ArrayList<>(waiting.stream().map(WaitingJob::tracked).toList());
		ordered.sort(Comparator.comparing(TrackedJob::rank));
		return ordered;
	}

	private static boolean applies(WaitingJob waiting) {
		JobSpecification specification = waiting.tracked().job().submission().specification();
		return waiting.queue().priority() > 0 && !specification.scheduled() && !specification.longRunning()
				&& specification.steps().stream().allMatch(StepSpecification::filler);
	}

	private Contender contender(WaitingJob waiting, long nowNanos) {
		JobProgress job = waiting.tracked().job();
		double heavy = 0;
		double total = 0;
		List<StepSpecification> steps = job.submission().specification().steps();
		for (int step = 0; step < steps.size(); step++) {
			double count = 0;
			for (int occurrence = 0; occurrence < job.occurrences(); occurrence++) {
				for (TaskProgress task : job.tasks(occurrence, step)) {
					count += (task.status() == TaskStatus.DONE) ? 0
							: (task.status() == TaskStatus.PLACED) ? RUNNING_SHARE : 1;
				}
			}
			double work = count * WaitingOrder.work(steps.get(step));
			total += work;
			heavy += this.freeWorkerNeeds.test(waiting.queue().service(), steps.get(step)) ? work : 0;
		}
		Duration objective = WaitingOrder.objective(waiting.queue(), job.submission().specification());
		Duration age = waiting.tracked().age(nowNanos);
		return new Contender(waiting, heavy, total, objective.minus(age),
				objective.multipliedBy(WaitingOrder.MAXIMUM_LATENESS).minus(age));
	}

	private void select(List<Contender> jobs, FillerCapacity capacity, long nowNanos) {
		double weight = heavyWeight(jobs, capacity);
		for (Contender job : jobs) {
			WaitingOrder.Rank rank = job.waiting().tracked().rank();
			double value = WaitingOrder.totalWork(job.job().submission().specification()) + job.waiting().meanWork();
			job.waiting()
				.tracked()
				.rank(new WaitingOrder.Rank(rank.group(), rank.priority(), ENDS_AS_RANKED,
						(job.total() + (weight - 1) * job.heavy()) / value));
		}
		jobs.sort(Comparator.comparing((job) -> job.waiting().tracked().rank()));
		Backlogs ahead = new Backlogs(new Backlog(capacity), new Backlog(capacity));
		// Begun jobs go first, so that they are judged without the work of other jobs.
		List<Contender> begun = jobs.stream().filter(Contender::keepsPosition).toList();
		List<Contender> others = jobs.stream().filter((job) -> !job.keepsPosition()).toList();
		List<Contender> deferred = new ArrayList<>(selectLate(selectInTime(begun, ahead), ahead));
		deferred.addAll(selectLate(selectInTime(others, ahead), ahead));
		Contender oldest = null;
		for (Contender job : deferred) {
			change(job, true, ahead.ofUse());
			if (oldest == null
					|| job.waiting().tracked().acceptedNanos() < oldest.waiting().tracked().acceptedNanos()) {
				oldest = job;
			}
		}
		if (oldest != null && oldest.waiting().tracked().age(nowNanos).compareTo(MAXIMUM_DEFERRAL) > 0) {
			rank(oldest, WaitingOrder.IN_TIME, ENDS_AS_RANKED);
		}
	}

	private static double heavyWeight(List<Contender> jobs, FillerCapacity capacity) {
		double heavy = 0;
		double total = 0;
		for (Contender job : jobs) {
			heavy += job.heavy();
			total += job.total();
		}
		if (total <= 0) {
			return 1;
		}
		double scarcity = heavy / Math.max(LEAST_CORES, capacity.exclusiveCores()) * capacity.totalCores() / total;
		return Math.max(1, Math.min(MAXIMUM_HEAVY_WEIGHT, scarcity));
	}

	private List<Contender> selectInTime(List<Contender> jobs, Backlogs ahead) {
		List<Contender> remaining = new ArrayList<>();
		for (Contender job : jobs) {
			if (job.group() == WaitingOrder.IN_TIME && ahead.inTime().canEnd(job, job.timeLeftInTime())) {
				change(job, false, ahead.inTime());
				ahead.inTime().add(job);
				ahead.ofUse().add(job);
			}
			else {
				remaining.add(job);
			}
		}
		return remaining;
	}

	private List<Contender> selectLate(List<Contender> jobs, Backlogs ahead) {
		List<Contender> remaining = new ArrayList<>();
		for (Contender job : jobs) {
			if (job.group() != WaitingOrder.LATE_BEYOND_USE && ahead.ofUse().canEnd(job, job.timeLeft())) {
				if (job.group() == WaitingOrder.IN_TIME) {
					rank(job, WaitingOrder.IN_TIME, ENDS_LATE);
				}
				change(job, false, ahead.ofUse());
				ahead.ofUse().add(job);
			}
			else {
				remaining.add(job);
			}
		}
		return remaining;
	}

	private static void rank(Contender job, int group, int selection) {
		WaitingOrder.Rank rank = job.waiting().tracked().rank();
		job.waiting().tracked().rank(new WaitingOrder.Rank(group, rank.priority(), selection, rank.order()));
	}

	private void change(Contender job, boolean deferred, Backlog backlog) {
		TrackedJob tracked = job.waiting().tracked();
		if (deferred) {
			// Capacity that becomes free unexpectedly goes to jobs that may still be of
			// use.
			rank(job, WaitingOrder.DEFERRED, job.group());
		}
		if (deferred != tracked.deferred()) {
			tracked.deferred(deferred);
			this.listener.selectionChanged(job.job(), deferred, backlog.evidence(job));
		}
	}

	/**
	 * A waiting job.
	 *
	 * @param tracked the job
	 * @param queue its queue
	 * @param meanWork the mean work of the jobs of the queue, in core-seconds
	 */
	record WaitingJob(TrackedJob tracked, Queue queue, double meanWork) {
	}

	/**
	 * A job to which the selection applies.
	 *
	 * @param waiting the job
	 * @param heavy its remaining work of heavy images, in core-seconds
	 * @param total its remaining work, in core-seconds
	 * @param timeLeftInTime the time left until its objective
	 * @param timeLeft the time for which its result is of use
	 */
	private record Contender(WaitingJob waiting, double heavy, double total, Duration timeLeftInTime,
			Duration timeLeft) {

		JobProgress job() {
			return this.waiting.tracked().job();
		}

		int group() {
			return this.waiting.tracked().rank().group();
		}

		/**
		 * Returns whether jobs that were never assigned cannot push the job back.
		 * @return true if a task of the job was assigned and the job is not deferred
		 */
		boolean keepsPosition() {
			return !this.waiting.tracked().deferred() && this.waiting.tracked().everAssigned();
		}

	}

	/**
	 * Work of the jobs selected so far.
	 *
	 * @param inTime the work of the jobs that can end in time
	 * @param ofUse the work of these and of the jobs that can end while of use
	 */
	private record Backlogs(Backlog inTime, Backlog ofUse) {
	}

	/**
	 * Work of the jobs selected so far, and the capacity that drains it. Mutable.
	 */
	private static final class Backlog {

		private final FillerCapacity capacity;

		private double heavy;

		private double total;

		private Backlog(FillerCapacity capacity) {
			this.capacity = capacity;
		}

		private void add(Contender job) {
			this.heavy += job.heavy();
			this.total += job.total();
		}

		private boolean canEnd(Contender job, Duration timeLeft) {
			double share = job.waiting().tracked().deferred() ? RESUMING_SHARE : 1;
			double seconds = timeLeft.toNanos() / NANOS * share;
			double heavySeconds = (job.heavy() > 0)
					? (this.heavy + job.heavy()) / Math.max(LEAST_CORES, this.capacity.exclusiveCores()) : 0;
			double totalSeconds = (this.total + job.total()) / Math.max(LEAST_CORES, this.capacity.totalCores());
			return Math.max(heavySeconds, totalSeconds) <= seconds;
		}

		private SelectionEvidence evidence(Contender job) {
			return new SelectionEvidence(job.heavy(), job.total(), this.heavy, this.total,
					this.capacity.exclusiveCores(), this.capacity.sharedCores(), job.timeLeft(), this.capacity.age());
		}

	}

}
