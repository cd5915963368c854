package org.crocuspost.platform.worker;

import java.time.Duration;

/**
 * Order to start an attempt of a task.
 *
 * @param attempt the attempt
 * @param jobName the job to which the task belongs
 * @param resources the resources that are set aside for the attempt
 * @param checkpoint the checkpoint from which the attempt resumes; empty if it starts
 * anew
 * @param lease the length of the first lease
 */
public record TaskStart(AttemptKey attempt, String jobName, Resources resources, String checkpoint, Duration lease) {
}
