package org.crocuspost.scheduler;

import java.time.Duration;
import java.util.ArrayList;
import java.util.Comparator;
import java.util.HashMap;
import java.util.List;
import java.util.Map;
import java.util.OptionalInt;
import java.util.function.Predicate;

import org.crocuspost.configuration.Configuration;
import org.crocuspost.configuration.JobSpecification;
import org.crocuspost.placement.PlacementPolicy;
import org.crocuspost.placement.PlacementRequest;
import org.crocuspost.platform.worker.Resources;
import org.jspecify.annotations.Nullable;

/**
 * Plans the claims of one scheduling round. Jobs are considered in order of urgency and
 * priority, and the tasks of a job until the first task that cannot be claimed. Tasks
 * that another scheduler should claim, or for which evictions free capacity, are skipped.
 * Free capacity only shrinks within a round, so once no worker has enough free capacity
 * for a size, every size at least as large is skipped without a search.
 */
final class ClaimPlanner {

	private static final Comparator<JobSpecification> SCHEDULING_ORDER = Comparator
		.comparing((JobSpecification job) -> job.urgent() ? 0 : 1)
		.thenComparing(JobSpecification::priority)
		.thenComparing((job) -> job.deadline().orElse(Duration.ofDays(1)))
		.thenComparing(JobSpecification::name);

	private final PlacementPolicy policy;

	private final PendingTasks pendingTasks;

	private final LearnedState learned;

	private final PreemptionPlanner preemptionPlanner;

	private List<JobSpecification> orderedJobs = List.of();

	private long orderedVersion = -1;

	ClaimPlanner(PlacementPolicy policy, PendingTasks pendingTasks, LearnedState learned,
			PreemptionPlanner preemptionPlanner) {
		this.policy = policy;
		this.pendingTasks = pendingTasks;
		this.learned = learned;
		this.preemptionPlanner = preemptionPlanner;
	}

	/**
	 * Plans the claims of a round.
	 * @param configuration the configuration in force
	 * @param candidates the workers that may receive tasks; allocated capacity is
	 * deducted from them
	 * @param usage the resources that the teams use; claims are added to it
	 * @param preferred returns true for the tasks that this scheduler should claim
	 * @param limit the maximum number of claims
	 * @return the claims, the evictions and the reasons why the other jobs wait
	 */
	ClaimPlan plan(Configuration configuration, CandidateWorkers candidates, TeamUsage usage,
			Predicate<CachedTask> preferred, int limit) {
		PreemptionPlanner.Round preemptions = this.preemptionPlanner.beginRound(configuration, candidates);
		Round round = new Round(candidates, preemptions, usage, preferred, limit);
		for (JobSpecification job : jobsInOrder(configuration)) {
			round.plan(job, configuration.version());
		}
		return new ClaimPlan(round.claims, preemptions.victims(), round.waits);
	}

	/**
	 * Returns whether any task waits.
	 * @param configuration the configuration in force
	 * @return true if at least one task waits
	 */
	boolean anyWaiting(Configuration configuration) {
		return jobsInOrder(configuration).stream()
			.anyMatch((job) -> !this.pendingTasks.list(job, configuration.version(), 1).isEmpty());
	}

	private List<JobSpecification> jobsInOrder(Configuration configuration) {
		if (configuration.version() != this.orderedVersion) {
			this.orderedJobs = configuration.jobs().values().stream().sorted(SCHEDULING_ORDER).toList();
			this.orderedVersion = configuration.version();
		}
		return this.orderedJobs;
	}

	private final class Round {

		private final CandidateWorkers candidates;

		private final PreemptionPlanner.Round preemptions;

		private final TeamUsage usage;

		private final Predicate<CachedTask> preferred;

		private final int limit;

		private final List<Claim> claims = new ArrayList<>();

		private final Map<String, JobWait> waits = new HashMap<>();

		private final List<Resources> unplaceableSizes = new ArrayList<>();

		private Round(CandidateWorkers candidates, PreemptionPlanner.Round preemptions, TeamUsage usage,
				Predicate<CachedTask> preferred, int limit) {
			this.candidates = candidates;
			this.preemptions = preemptions;
			this.usage = usage;
			this.preferred = preferred;
			this.limit = limit;
		}

		private void plan(JobSpecification job, long version) {
			List<CachedTask> tasks = ClaimPlanner.this.pendingTasks.list(job, version,
					Math.max(1, this.limit - this.claims.size()));
			for (CachedTask task : tasks) {
				JobWait wait = claim(job, task);
				if (wait != null) {
					this.waits.put(job.name(), wait);
					if (wait.reason() != WaitReason.OTHER_SCHEDULER && wait.reason() != WaitReason.EVICTING_OTHERS) {
						return;
					}
				}
			}
		}

		private @Nullable JobWait claim(JobSpecification job, CachedTask task) {
			Resources size = ClaimPlanner.this.learned.sizes().sizeOf(job);
			JobWait obstacle = findObstacle(job, task, size);
			if (obstacle != null) {
				return obstacle;
			}
			OptionalInt chosen = ClaimPlanner.this.policy.choose(new PlacementRequest(job, size),
					this.candidates.snapshots());
			if (chosen.isEmpty()) {
				return explainNoWorker(job, size);
			}
			if (job.urgent()) {
				this.preemptions.releaseReservation(this.candidates.state(chosen.getAsInt()).worker());
			}
			this.candidates.allocate(chosen.getAsInt(), job.name(), size);
			this.usage.add(job, size);
			this.claims.add(new Claim(task, this.candidates.state(chosen.getAsInt()), size));
			return null;
		}

		private @Nullable JobWait findObstacle(JobSpecification job, CachedTask task, Resources size) {
			if (ClaimPlanner.this.learned.failures().isHeld(job.name())) {
				return new JobWait(WaitReason.FAILS_EVERYWHERE, "its tasks failed on several workers");
			}
			if (!this.usage.fitsQuota(job, size)) {
				return new JobWait(WaitReason.LARGER_THAN_QUOTA,
						"a task needs " + size + ", more than the quota of team " + job.team());
			}
			if (!this.usage.fitsRemainingQuota(job, size)) {
				return new JobWait(WaitReason.QUOTA, "the quota of team " + job.team() + " is used up");
			}
			if (this.candidates.isEmpty()) {
				return new JobWait(WaitReason.NO_DOMAIN, "no worker takes tasks now");
			}
			if (this.claims.size() >= this.limit) {
				return new JobWait(WaitReason.NO_ROOM, "other tasks are started first");
			}
			if (isUnplaceable(size)) {
				return explainNoWorker(job, size);
			}
			if (!this.preferred.test(task)) {
				return new JobWait(WaitReason.OTHER_SCHEDULER, "another scheduler starts it");
			}
			return null;
		}

		private boolean isUnplaceable(Resources size) {
			return this.unplaceableSizes.stream().anyMatch((other) -> other.fitsInto(size));
		}

		private JobWait explainNoWorker(JobSpecification job, Resources size) {
			if (this.candidates.anyHasFreeCapacity(size)) {
				return new JobWait(WaitReason.WOULD_DISTURB_SERVICES, "the workers with room run services that suffer");
			}
			if (job.urgent() && this.preemptions.reserve(job, size)) {
				return new JobWait(WaitReason.EVICTING_OTHERS, "other tasks are evicted to make room");
			}
			this.unplaceableSizes.add(size);
			if (!this.candidates.anyLargeEnough(size)) {
				return new JobWait(WaitReason.LARGER_THAN_EVERY_WORKER, "a task needs " + size);
			}
			return new JobWait(WaitReason.NO_ROOM, "no worker has " + size + " free");
		}

	}

}
