package org.crocuspost.platform.worker;

import java.util.Objects;

/**
 * Identity of one attempt to run a task.
 *
 * @param taskId the identity of the task
 * @param attempt the number of the attempt, starting at 1
 */
public record AttemptKey(String taskId, long attempt) {

	public AttemptKey {
		Objects.requireNonNull(taskId, "taskId");
	}

}
