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
 * Chooses the claims of one round: jobs in order of urgency and priority, each until the
 * first task that finds no worker. Room only shrinks within a round, so once a size has
 * found no worker every size at least as large is skipped without a search.
 */
final class ClaimPlanner {

	private static final Comparator<JobSpecification> ORDER = Comparator
		.comparing((JobSpecification job) -> job.urgent() ? 0 : 1)
		.thenComparing(JobSpecification::priority)
		.thenComparing((job) -> job.deadline().orElse(Duration.ofDays(1)))
		.thenComparing(JobSpecification::name);

	private final PlacementPolicy policy;

	private final PendingTasks pending;

	private final Knowledge knowledge;

	private final PreemptionPlanner preemption;

	private List<JobSpecification> ordered = List.of();

	private long orderedVersion = -1;

	ClaimPlanner(PlacementPolicy policy, PendingTasks pending, Knowledge knowledge, PreemptionPlanner preemption) {
		this.policy = policy;
		this.pending = pending;
		this.knowledge = knowledge;
		this.preemption = preemption;
	}

	/**
	 * Chooses the claims.
	 * @param configuration the configuration in force
	 * @param rooms the workers that may get tasks; room is taken from it
	 * @param use what the teams use; claims are added to it
	 * @param preferred says whether this scheduler should start a task
	 * @param limit the most claims
	 * @return the claims and the reasons why the other jobs wait
	 */
	ClaimPlan plan(Configuration configuration, WorkerRooms rooms, TeamUse use, Predicate<CachedTask> preferred,
			int limit) {
		PreemptionPlanner.Round preemptions = this.preemption.begin(configuration, rooms);
		Round round = new Round(rooms, preemptions, use, preferred, limit);
		for (JobSpecification job : inOrder(configuration)) {
			round.plan(job, configuration.version());
		}
		return new ClaimPlan(round.claims, preemptions.victims(), round.waits);
	}

	/**
	 * Says whether any task waits.
	 * @param configuration the configuration in force
	 * @return true if one does
	 */
	boolean anyWaiting(Configuration configuration) {
		return inOrder(configuration).stream()
			.anyMatch((job) -> !this.pending.of(job, configuration.version(), 1).isEmpty());
	}

	private List<JobSpecification> inOrder(Configuration configuration) {
		if (configuration.version() != this.orderedVersion) {
			this.ordered = configuration.jobs().values().stream().sorted(ORDER).toList();
			this.orderedVersion = configuration.version();
		}
		return this.ordered;
	}

	private final class Round {

		private final WorkerRooms rooms;

		private final PreemptionPlanner.Round preemptions;

		private final TeamUse use;

		private final Predicate<CachedTask> preferred;

		private final int limit;

		private final List<Claim> claims = new ArrayList<>();

		private final Map<String, JobWait> waits = new HashMap<>();

		private final List<Resources> refused = new ArrayList<>();

		private Round(WorkerRooms rooms, PreemptionPlanner.Round preemptions, TeamUse use,
				Predicate<CachedTask> preferred, int limit) {
			this.rooms = rooms;
			this.preemptions = preemptions;
			this.use = use;
			this.preferred = preferred;
			this.limit = limit;
		}

		private void plan(JobSpecification job, long version) {
			List<CachedTask> tasks = ClaimPlanner.this.pending.of(job, version,
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
			Resources size = ClaimPlanner.this.knowledge.sizes().sizeOf(job);
			JobWait obstacle = obstacle(job, task, size);
			if (obstacle != null) {
				return obstacle;
			}
			OptionalInt chosen = ClaimPlanner.this.policy.choose(new PlacementRequest(job, size),
					this.rooms.snapshots());
			if (chosen.isEmpty()) {
				return noRoom(job, size);
			}
			if (job.urgent()) {
				this.preemptions.placed(this.rooms.state(chosen.getAsInt()).worker());
			}
			this.rooms.take(chosen.getAsInt(), job.name(), size);
			this.use.add(job, size);
			this.claims.add(new Claim(task, this.rooms.state(chosen.getAsInt()), size));
			return null;
		}

		private @Nullable JobWait obstacle(JobSpecification job, CachedTask task, Resources size) {
			if (ClaimPlanner.this.knowledge.failures().held(job.name())) {
				return new JobWait(WaitReason.FAILS_EVERYWHERE, "its tasks failed on several workers");
			}
			if (!this.use.everAllows(job, size)) {
				return new JobWait(WaitReason.LARGER_THAN_QUOTA,
						"a task needs " + size + ", more than the quota of team " + job.team());
			}
			if (!this.use.allows(job, size)) {
				return new JobWait(WaitReason.QUOTA, "the quota of team " + job.team() + " is used up");
			}
			if (this.rooms.isEmpty()) {
				return new JobWait(WaitReason.NO_DOMAIN, "no worker takes tasks now");
			}
			if (this.claims.size() >= this.limit) {
				return new JobWait(WaitReason.NO_ROOM, "other tasks are started first");
			}
			if (refusedBefore(size)) {
				return noRoom(job, size);
			}
			if (!this.preferred.test(task)) {
				return new JobWait(WaitReason.OTHER_SCHEDULER, "another scheduler starts it");
			}
			return null;
		}

		private boolean refusedBefore(Resources size) {
			return this.refused.stream().anyMatch((other) -> other.fitsInto(size));
		}

		private JobWait noRoom(JobSpecification job, Resources size) {
			if (this.rooms.fits(size)) {
				return new JobWait(WaitReason.WOULD_DISTURB_SERVICES, "the workers with room run services that suffer");
			}
			if (job.urgent() && this.preemptions.hold(job, size)) {
				return new JobWait(WaitReason.EVICTING_OTHERS, "other tasks are evicted to make room");
			}
			this.refused.add(size);
			if (!this.rooms.largeEnough(size)) {
				return new JobWait(WaitReason.LARGER_THAN_EVERY_WORKER, "a task needs " + size);
			}
			return new JobWait(WaitReason.NO_ROOM, "no worker has " + size + " free");
		}

	}

}
