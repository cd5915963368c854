package org.crocuspost.job;

import java.util.List;

/**
 * Specification of a job: its steps, and when they run.
 *
 * @param text text that is passed to the tasks unchanged
 * @param steps the steps, in an order in which each step follows its predecessors
 * @param occurrences the number of times that the steps run
 * @param scheduled whether occurrences have due times
 * @param firstDueMillis the due time of the first occurrence, Unix time in milliseconds
 * @param intervalMillis the time between two due times, in milliseconds
 */
public record JobSpecification(String text, List<StepSpecification> steps, int occurrences, boolean scheduled,
		long firstDueMillis, long intervalMillis) {

	/**
	 * Maximum number of tasks of a job in all occurrences. A leader holds the progress of
	 * each of them in memory.
	 */
	private static final int MAXIMUM_TASKS = 800;

	public JobSpecification {
		steps = List.copyOf(steps);
		if (steps.isEmpty()) {
			throw new IllegalArgumentException("a job has at least one step");
		}
		long tasks = steps.stream().mapToLong(StepSpecification::taskCount).sum();
		if (occurrences < 1 || tasks > MAXIMUM_TASKS / occurrences) {
			throw new IllegalArgumentException(
					"a job has 1 to " + MAXIMUM_TASKS + " tasks, but this has " + occurrences + " times " + tasks);
		}
		requireDueTimesInRange(scheduled, occurrences, firstDueMillis, intervalMillis);
		for (int step = 0; step < steps.size(); step++) {
			for (int predecessor : steps.get(step).predecessors()) {
				if (predecessor < 0 || predecessor >= step) {
					throw new IllegalArgumentException("step " + step + " may only follow earlier steps");
				}
			}
		}
	}

	private static void requireDueTimesInRange(boolean scheduled, int occurrences, long firstDueMillis,
			long intervalMillis) {
		try {
			if (scheduled) {
				Math.addExact(firstDueMillis, Math.multiplyExact(occurrences, intervalMillis));
			}
		}
		catch (ArithmeticException ex) {
			throw new IllegalArgumentException("the due times of a job must be Unix times in milliseconds", ex);
		}
	}

	/**
	 * Returns the due time of an occurrence.
	 * @param occurrence the occurrence, counted from 0
	 * @return the Unix time in milliseconds; 0 if the job is not scheduled
	 */
	public long dueMillis(int occurrence) {
		return this.scheduled ? this.firstDueMillis + occurrence * this.intervalMillis : 0;
	}

	/**
	 * Returns whether some tasks of the job run until it is cancelled.
	 * @return true if the job has a long-running step
	 */
	public boolean longRunning() {
		return this.steps.stream().anyMatch(StepSpecification::lasting);
	}

}
