package org.crocuspost.host;

import org.crocuspost.dispatch.TaskNames;
import org.crocuspost.job.TaskKey;
import org.crocuspost.wire.RunningTask;
import org.crocuspost.wire.StartOrder;

/**
 * Identifies a run.
 *
 * @param task the task
 * @param run the number of the run
 */
record RunKey(TaskKey task, int run) {

	static RunKey of(RunningTask running) {
		return new RunKey(TaskNames.key(running.getTask()), running.getRun());
	}

	static RunKey of(StartOrder order) {
		return new RunKey(TaskNames.key(order.getTask()), order.getRun());
	}

}
