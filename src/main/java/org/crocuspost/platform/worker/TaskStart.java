package org.crocuspost.platform.worker;

import java.time.Duration;

/**
 * Request to start an attempt of a task.
 *
 * @param attempt the attempt
 * @param jobName the job to which the task belongs
 * @param resources the resources that are reserved for the attempt
 * @param checkpoint the checkpoint from which the attempt resumes; empty if it starts
 * from the beginning
 * @param lease the duration of the first lease
 */
public record TaskStart(AttemptKey attempt, String jobName, Resources resources, String checkpoint, Duration lease) {
}
