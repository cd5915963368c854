package org.crocuspost.job;

import java.util.List;

/**
 * What a job consists of.
 *
 * @param text text that is handed to the tasks unchanged
 * @param steps the steps
 * @param occurrences how often the steps run
 * @param scheduled whether occurrences have due times
 * @param firstDueMillis due time of the first occurrence, Unix time in milliseconds
 * @param intervalMillis time between due times, in milliseconds
 */
public record JobSpecification(String text, List<StepSpecification> steps, int occurrences, boolean scheduled,
		long firstDueMillis, long intervalMillis) {

	public JobSpecification {
		steps = List.copyOf(steps);
		if (steps.isEmpty()) {
			throw new IllegalArgumentException("a job has at least one step");
		}
		for (int step = 0; step < steps.size(); step++) {
			for (int predecessor : steps.get(step).predecessors()) {
				if (predecessor < 0 || predecessor >= step) {
					throw new IllegalArgumentException("step " + step + " may only follow earlier steps");
				}
			}
		}
	}

	/**
	 * Returns when an occurrence is due.
	 * @param occurrence the occurrence, counted from 0
	 * @return the Unix time in milliseconds; 0 if the job is not scheduled
	 */
	public long dueMillis(int occurrence) {
		return this.scheduled ? this.firstDueMillis + occurrence * this.intervalMillis : 0;
	}

	/**
	 * Says whether some tasks of the job run until it is cancelled.
	 * @return true if a step lasts
	 */
	public boolean longRunning() {
		return this.steps.stream().anyMatch(StepSpecification::lasting);
	}

}
