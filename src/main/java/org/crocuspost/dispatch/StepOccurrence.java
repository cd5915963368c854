package org.crocuspost.dispatch;

import org.crocuspost.job.TaskKey;

/**
 * One occurrence of a step of a job. Its tasks share a limit per worker.
 *
 * @param job the identity of the job
 * @param occurrence the number of the occurrence of the job
 * @param step the number of the step
 */
record StepOccurrence(String job, int occurrence, int step) {

	static StepOccurrence of(TaskKey task) {
		return new StepOccurrence(task.job(), task.occurrence(), task.step());
	}

}
