package org.crocuspost.standin.worker;

import org.crocuspost.platform.worker.TaskStart;

/**
 * Determines the actual behavior of simulated tasks.
 */
@FunctionalInterface
public interface TaskBehaviors {

	/**
	 * Returns the behavior of an attempt.
	 * @param start the command that starts the attempt
	 * @return the behavior
	 */
	TaskBehavior of(TaskStart start);

}
