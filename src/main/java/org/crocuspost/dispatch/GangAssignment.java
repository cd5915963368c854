package org.crocuspost.dispatch;

import java.util.ArrayList;
import java.util.LinkedHashMap;
import java.util.List;
import java.util.Map;
import java.util.Optional;
import java.util.function.BiConsumer;

import org.crocuspost.job.TaskProgress;

/**
 * Chooses workers for all tasks of a gang or for none, since a gang holds its room
 * without working until it is whole.
 */
final class GangAssignment {

	private final PlacementPolicy policy;

	private final List<HostRoom> rooms;

	GangAssignment(PlacementPolicy policy, List<HostRoom> rooms) {
		this.policy = policy;
		this.rooms = rooms;
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
		return choose(tasks, this.rooms, run + 1);
	}

	private Optional<Choice> chooseInOneRack(List<TaskProgress> tasks, int run) {
		Map<String, List<HostRoom>> byRack = new LinkedHashMap<>();
		this.rooms.forEach((room) -> byRack.computeIfAbsent(room.rack(), (rack) -> new ArrayList<>()).add(room));
		for (List<HostRoom> rack : byRack.values()) {
			Optional<Choice> choice = choose(tasks, rack, run);
			if (choice.isPresent()) {
				return choice;
			}
		}
		return Optional.empty();
	}

	private Optional<Choice> choose(List<TaskProgress> tasks, List<HostRoom> candidates, int run) {
		Map<TaskProgress, HostRoom> chosen = new LinkedHashMap<>();
		List<HostRoom> trial = new ArrayList<>();
		Map<HostRoom, HostRoom> originals = new LinkedHashMap<>();
		for (HostRoom room : candidates) {
			HostRoom copy = room.copy();
			trial.add(copy);
			originals.put(copy, room);
		}
		for (TaskProgress task : tasks) {
			HostRoom room = this.policy.choose(task, trial);
			if (room == null) {
				return Optional.empty();
			}
			room.tryTake(task.step());
			chosen.put(task, originals.get(room));
		}
		chosen.forEach((task, room) -> room.take(task.step()));
		return Optional.of(new Choice(chosen, run));
	}

	/**
	 * Workers for a whole gang.
	 *
	 * @param rooms the worker of each task
	 * @param run the number of the run, the same for all
	 */
	record Choice(Map<TaskProgress, HostRoom> rooms, int run) {

		void forEach(BiConsumer<TaskProgress, HostRoom> action) {
			this.rooms.forEach(action);
		}

	}

}
