package org.crocuspost.dispatch;

import java.time.Duration;

import org.crocuspost.job.TaskKey;

/**
 * A task of a long-running step that is not known to run.
 *
 * @param task the identity of the task
 * @param run the number of its last run; 0 if it was never assigned
 * @param host the host of that run, or the host that lists an unassigned run of the task;
 * empty if a former leader knew it and it is not stored
 * @param reason why the task is not known to run
 * @param duration for how long this leader has known the task not to run, or its run not
 * to be confirmed
 * @param evidenceAge the age of the information on which the reason is based
 */
public record UnavailableTask(TaskKey task, int run, String host, UnavailabilityReason reason, Duration duration,
		Duration evidenceAge) {

}
