package org.crocuspost.dispatch;

import java.util.ArrayList;
import java.util.Collection;
import java.util.Comparator;
import java.util.List;

import org.crocuspost.job.TaskProgress;
import org.jspecify.annotations.Nullable;

/**
 * Selects workers for tasks that were started shortly before the crash of a worker. Until
 * such a run has outlived its probation, nothing else starts on its worker.
 *
 * <p>
 * The load pattern is a task that crashes each worker that starts it. A worker that comes
 * back is empty, so all tasks that were lost with it would start there again at the same
 * moment, the deadly one among them, and each would be as suspect as before. Example: 30
 * tasks have started within half a second before a crash. Giving up tasks after two
 * crashes without telling them apart fails up to 30 jobs for the fault of one; trying one
 * task after the other takes 30 probations. Instead, five groups of six start on five
 * workers. One of these workers crashes. The tasks of the other groups are cleared, and
 * the six that remain start on a worker each.
 */
final class ProbationPlacement {

	private final PlacementPolicy policy;

	ProbationPlacement(PlacementPolicy policy) {
		this.policy = policy;
	}

	/**
	 * Selects a worker for a suspected task: one on which other suspected tasks start in
	 * this pass and that need not be told apart from the task, otherwise one where little
	 * is lost if it crashes. A host whose workers crash repeatedly is avoided while there
	 * is another: if its worker crashes again, the task may not be the cause.
	 * @param task the task
	 * @param candidates the hosts whose workers accept tasks
	 * @return the host, or null if the task has to wait
	 */
	@Nullable CandidateHost choose(TaskProgress task, Collection<CandidateHost> candidates) {
		List<CandidateHost> sound = candidates.stream().filter((candidate) -> !candidate.isUnstable()).toList();
		return chooseAmong(task, sound.isEmpty() ? candidates : sound);
	}

	/**
	 * Returns whether suspected tasks are on probation on as many workers as allowed.
	 * @param candidates the hosts among which the workers are chosen
	 * @return true if suspected tasks start on no further worker
	 */
	static boolean limitReached(Collection<CandidateHost> candidates) {
		return limitReached(candidates.stream().filter(CandidateHost::hasSuspects).count(), candidates.size());
	}

	private static boolean limitReached(long withSuspects, int workers) {
		return withSuspects >= Math.max(1, workers * DispatchSettings.MAXIMUM_PROBATION_SHARE);
	}

	private @Nullable CandidateHost chooseAmong(TaskProgress task, Collection<CandidateHost> candidates) {
		List<CandidateHost> groups = new ArrayList<>();
		List<CandidateHost> others = new ArrayList<>();
		for (CandidateHost candidate : candidates) {
			(candidate.hasSuspects() ? groups : others).add(candidate);
		}
		CandidateHost joined = this.policy.choose(task, groups);
		if (joined != null || limitReached(groups.size(), candidates.size())) {
			return joined;
		}
		others.sort(Comparator.comparingInt((candidate) -> candidate.host().placements().size()));
		for (CandidateHost candidate : others) {
			if (this.policy.choose(task, List.of(candidate)) != null) {
				return candidate;
			}
		}
		return null;
	}

}
