package org.crocuspost.standin.worker;

import org.crocuspost.platform.worker.TaskStart;

/**
 * Says what tasks truly do.
 */
@FunctionalInterface
public interface TaskBehaviors {

	/**
	 * Returns the behavior of an attempt.
	 * @param start the order to start it
	 * @return the behavior
	 */
	TaskBehavior of(TaskStart start);

}
