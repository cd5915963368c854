package org.crocuspost.dispatch;

import java.time.Duration;
import java.util.ArrayDeque;
import java.util.Collection;
import java.util.Deque;
import java.util.HashMap;
import java.util.HashSet;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.Set;
import java.util.function.BiPredicate;
import java.util.function.Function;

import org.crocuspost.dispatch.AdmissionFigures.Backlog;
import org.crocuspost.dispatch.AdmissionFigures.Backlogs;
import org.crocuspost.job.JobProgress;
import org.crocuspost.job.JobSpecification;
import org.crocuspost.job.JobState;
import org.crocuspost.job.Queue;
import org.crocuspost.job.StepSpecification;
import org.crocuspost.job.TaskProgress;
import org.crocuspost.job.TaskStatus;

/**
 * Measures, for the queues with a priority above 0, how much work is ahead of a new job
 * and how fast such work is completed.
 *
 * <p>
 * The rate of completion shows the capacity only while tasks wait for it all the time;
 * otherwise it is the rate of arrival. Therefore a queue without a lasting backlog has no
 * figures. Idle capacity that the waiting tasks could use is added to the rate, so that
 * one task that fits no worker does not make a queue look overloaded. Work whose result
 * is of no use any more is not ahead of a new job.
 *
 * <p>
 * The work ahead of a queue includes that of the queues of the same service that go
 * before it. Queues of priority 0 are not counted: what they take from the others shows
 * in the measured rate.
 */
final class AdmissionEstimator {

	/**
	 * Time over which completed work is measured. Several tasks of a few seconds must end
	 * within it on each worker.
	 */
	static final Duration WINDOW = Duration.ofSeconds(12);

	/**
	 * Time for which tasks must have waited without interruption before a rate is
	 * published: the window, and the time until the first tasks of a new backlog end.
	 */
	static final Duration MINIMUM_BACKLOG_TIME = Duration.ofSeconds(15);

	/**
	 * Time without a survey after which the measurement starts again.
	 */
	private static final Duration MAXIMUM_SURVEY_GAP = Duration.ofSeconds(3);

	private final Map<String, RemainingJob> remaining = new HashMap<>();

	private final Map<Key, Measurement> measurements = new HashMap<>();

	private long surveyedNanos;

	/**
	 * Surveys all jobs.
	 * @param jobs all jobs that are known, including ended ones
	 * @param queues finds the queue of a job
	 * @param exclusive whether a step runs only on workers without services
	 * @param idle the idle capacity by service
	 * @param nowNanos the current time in nanoseconds of the process clock
	 * @param nowMillis the current Unix time in milliseconds
	 * @return the backlogs by queue and the exclusive images among them
	 */
	Result survey(Collection<TrackedJob> jobs, Function<JobProgress, Optional<Queue>> queues,
			BiPredicate<Queue, StepSpecification> exclusive, Map<String, IdleCapacity> idle, long nowNanos,
			long nowMillis) {
		if (nowNanos - this.surveyedNanos > MAXIMUM_SURVEY_GAP.toNanos()) {
			this.measurements.clear();
			this.remaining.clear();
		}
		this.surveyedNanos = nowNanos;
		Map<Key, Survey> surveys = new HashMap<>();
		Map<String, Queue> listed = new HashMap<>();
		Set<String> images = new HashSet<>();
		Set<String> present = new HashSet<>();
		for (TrackedJob tracked : jobs) {
			JobProgress job = tracked.job();
			RemainingJob before = this.remaining.get(job.id());
			if (job.state().terminal()) {
				if (before != null && job.state() == JobState.COMPLETED) {
					before.work().forEach((key, work) -> measurement(key).drained += work);
				}
				this.remaining.remove(job.id());
				continue;
			}
			Optional<Queue> queue = queues.apply(job).filter((candidate) -> candidate.priority() > 0);
			if (queue.isEmpty() || job.submission().specification().longRunning()) {
				continue;
			}
			listed.put(queue.get().name(), queue.get());
			present.add(job.id());
			// Deferred jobs count: without their work so many jobs were accepted that
			// some
			// deferred ones had not ended 120 s after the overload.
			boolean ofUse = tracked.rank().group() != WaitingOrder.LATE_BEYOND_USE;
			RemainingJob after = new JobSurvey(queue.get(), job, ofUse, exclusive, nowMillis).run(surveys, images);
			if (before != null) {
				before.work()
					.forEach((key, work) -> measurement(key).drained += Math.max(0,
							work - after.work().getOrDefault(key, 0L)));
			}
			this.remaining.put(job.id(), after);
		}
		this.remaining.keySet().retainAll(present);
		this.measurements.keySet().removeIf((key) -> !listed.containsKey(key.queue()));
		Map<String, Backlogs> backlogs = new HashMap<>();
		for (Queue queue : listed.values()) {
			IdleCapacity free = idle.getOrDefault(queue.service(), IdleCapacity.NONE);
			for (boolean kind : new boolean[] { false, true }) {
				measurement(new Key(queue.name(), kind)).sample(nowNanos,
						surveys.getOrDefault(new Key(queue.name(), kind), new Survey()).waiting);
			}
			Backlogs result = new Backlogs(backlog(queue, false, listed.values(), surveys, free, nowNanos),
					backlog(queue, true, listed.values(), surveys, free, nowNanos));
			if (result.shared().known() || result.exclusive().known()) {
				backlogs.put(queue.name(), result);
			}
		}
		return new Result(backlogs, images);
	}

	private Measurement measurement(Key key) {
		return this.measurements.computeIfAbsent(key, (missing) -> new Measurement());
	}

	private Backlog backlog(Queue queue, boolean exclusive, Collection<Queue> queues, Map<Key, Survey> surveys,
			IdleCapacity idle, long nowNanos) {
		Key own = new Key(queue.name(), exclusive);
		double rate = measurement(own).lasting(nowNanos) ? 0 : -1;
		if (rate < 0) {
			return Backlog.NONE;
		}
		long ahead = 0;
		boolean fillersOnly = true;
		for (Queue other : queues) {
			if (other.service().equals(queue.service()) && other.priority() <= queue.priority()) {
				Key key = new Key(other.name(), exclusive);
				Survey survey = surveys.getOrDefault(key, new Survey());
				ahead += survey.unassigned;
				fillersOnly &= survey.fillersOnly;
				rate += measurement(key).rate(nowNanos);
			}
		}
		if (rate <= 0) {
			// Nothing was completed, so nothing is known of when it will be.
			return Backlog.NONE;
		}
		return new Backlog(ahead, Math.round(rate + (fillersOnly ? idle.fillerMilliCores() : idle.milliCores())));
	}

	/**
	 * Figures of one survey.
	 *
	 * @param backlogs the backlogs by queue; a queue without a lasting backlog is not
	 * listed
	 * @param exclusiveImages the images of unfinished steps that run only on workers
	 * without services
	 */
	record Result(Map<String, Backlogs> backlogs, Set<String> exclusiveImages) {
	}

	/**
	 * Capacity of the workers of a service that no task uses.
	 *
	 * @param milliCores the unreserved capacity, in thousandths of a core
	 * @param fillerMilliCores the capacity that fillers can use on workers without
	 * services, in thousandths of a core
	 */
	record IdleCapacity(long milliCores, long fillerMilliCores) {

		static final IdleCapacity NONE = new IdleCapacity(0, 0);

		IdleCapacity plus(IdleCapacity other) {
			return new IdleCapacity(this.milliCores + other.milliCores, this.fillerMilliCores + other.fillerMilliCores);
		}

	}

	private record Key(String queue, boolean exclusive) {
	}

	private record RemainingJob(Map<Key, Long> work) {
	}

	private static final class Survey {

		private long unassigned;

		private boolean waiting;

		private boolean fillersOnly = true;

	}

	/**
	 * Sums up the unfinished work of one job.
	 */
	private record JobSurvey(Queue queue, JobProgress job, boolean ofUse,
			BiPredicate<Queue, StepSpecification> exclusive, long nowMillis) {

		RemainingJob run(Map<Key, Survey> surveys, Set<String> images) {
			Map<Key, Long> work = new HashMap<>();
			JobSpecification specification = this.job.submission().specification();
			for (int occurrence = 0; occurrence < this.job.occurrences()
					&& specification.dueMillis(occurrence) <= this.nowMillis; occurrence++) {
				add(occurrence, specification.steps(), work, surveys, images);
			}
			return new RemainingJob(work);
		}

		private void add(int occurrence, List<StepSpecification> steps, Map<Key, Long> work, Map<Key, Survey> surveys,
				Set<String> images) {
			boolean[] behindExclusive = new boolean[steps.size()];
			for (int number = 0; number < steps.size(); number++) {
				StepSpecification step = steps.get(number);
				boolean kind = this.exclusive.test(this.queue, step);
				boolean done = this.job.stepDone(occurrence, number);
				boolean blocked = step.predecessors().stream().anyMatch((predecessor) -> behindExclusive[predecessor]);
				behindExclusive[number] = !done && (kind || blocked);
				if (done) {
					continue;
				}
				if (kind) {
					images.add(step.image());
				}
				Key key = new Key(this.queue.name(), kind);
				Survey survey = surveys.computeIfAbsent(key, (missing) -> new Survey());
				boolean ready = this.job.predecessorsDone(occurrence, number);
				for (TaskProgress task : this.job.tasks(occurrence, number)) {
					if (task.status() == TaskStatus.DONE) {
						continue;
					}
					work.merge(key, JobDemand.work(step), Long::sum);
					if (task.status().waiting() && this.ofUse) {
						// Work behind a step that waits for the other kind of capacity
						// does not compete with a new job.
						survey.unassigned += (blocked && !kind) ? 0 : JobDemand.work(step);
						survey.waiting |= ready;
						survey.fillersOnly &= step.filler();
					}
				}
			}
		}

	}

	/**
	 * Completed work of one queue over time. Mutable.
	 */
	private static final class Measurement {

		private final Deque<Sample> samples = new ArrayDeque<>();

		private long drained;

		private long waitingSinceNanos;

		private boolean waiting;

		private void sample(long nowNanos, boolean waits) {
			if (waits && !this.waiting) {
				this.waitingSinceNanos = nowNanos;
			}
			this.waiting = waits;
			this.samples.addLast(new Sample(nowNanos, this.drained));
			while (this.samples.size() > 2 && nowNanos - this.samples.getFirst().nanos() > WINDOW.toNanos()) {
				this.samples.removeFirst();
			}
		}

		private boolean lasting(long nowNanos) {
			return this.waiting && nowNanos - this.waitingSinceNanos >= MINIMUM_BACKLOG_TIME.toNanos();
		}

		/**
		 * Returns the rate of completion.
		 * @param nowNanos the current time
		 * @return the rate in thousandths of a core
		 */
		private double rate(long nowNanos) {
			if (this.samples.isEmpty() || nowNanos == this.samples.getFirst().nanos()) {
				return 0;
			}
			Sample first = this.samples.getFirst();
			return (this.drained - first.drained()) * 1e9 / (nowNanos - first.nanos());
		}

		private record Sample(long nanos, long drained) {
		}

	}

}
