package org.crocuspost.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;

import org.crocuspost.job.TaskProgress;

/**
 * Selects workers for all tasks of a gang or for none. The tasks of an incomplete gang
 * would hold resources without making progress.
 */
final class GangAssignment {

	private final PlacementPolicy policy;

	private final List<CandidateHost> candidates;

	GangAssignment(PlacementPolicy policy, List<CandidateHost> candidates) {
		this.policy = policy;
		this.candidates = candidates;
	}

	Optional<Choice> choose(List<TaskProgress> tasks) {
		int run = 0;
		for (TaskProgress task : tasks) {
			if (!task.status().waiting()) {
				return Optional.empty();
			}
			run = Math.max(run, task.run());
		}
		if (tasks.get(0).step().sameRack()) {
			Optional<Choice> together = chooseInOneRack(tasks, run + 1);
			if (together.isPresent()) {
				return together;
			}
		}
		return choose(tasks, this.candidates, run + 1);
	}

	private Optional<Choice> chooseInOneRack(List<TaskProgress> tasks, int run) {
		Map<String, List<CandidateHost>> byRack = new LinkedHashMap<>();
		this.candidates.forEach(
				(candidate) -> byRack.computeIfAbsent(candidate.rack(), (rack) -> new ArrayList<>()).add(candidate));
		for (List<CandidateHost> rack : byRack.values()) {
			Optional<Choice> choice = choose(tasks, rack, run);
			if (choice.isPresent()) {
				return choice;
			}
		}
		return Optional.empty();
	}

	private Optional<Choice> choose(List<TaskProgress> tasks, List<CandidateHost> subset, int run) {
		Map<TaskProgress, CandidateHost> chosen = new LinkedHashMap<>();
		List<CandidateHost> trial = new ArrayList<>();
		Map<CandidateHost, CandidateHost> originals = new LinkedHashMap<>();
		for (CandidateHost candidate : subset) {
			CandidateHost copy = candidate.copy();
			trial.add(copy);
			originals.put(copy, candidate);
		}
		for (TaskProgress task : tasks) {
			CandidateHost candidate = this.policy.choose(task, trial);
			if (candidate == null) {
				return Optional.empty();
			}
			candidate.reserveForTrial(task);
			chosen.put(task, originals.get(candidate));
		}
		chosen.forEach((task, candidate) -> candidate.reserve(task));
		return Optional.of(new Choice(chosen, run));
	}

	/**
	 * Workers for all tasks of a gang.
	 *
	 * @param assignments the worker of each task
	 * @param run the number of the run, the same for all tasks
	 */
	record Choice(Map<TaskProgress, CandidateHost> assignments, int run) {

		void forEach(BiConsumer<TaskProgress, CandidateHost> action) {
			this.assignments.forEach(action);
		}

	}

}
