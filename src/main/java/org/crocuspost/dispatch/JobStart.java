package org.crocuspost.dispatch;

import java.time.Duration;
import java.util.Objects;
import java.util.Optional;

import org.crocuspost.job.TaskKey;

/**
 * The first run of a job that a worker is known to have begun.
 *
 * @param task the task
 * @param run the number of the run
 * @param host the host
 * @param age the time since the job was accepted
 * @param sinceAssigned the time since this leader first assigned a task of the job; empty
 * if a former leader had assigned one
 * @param evidence the report that lists the run
 */
public record JobStart(TaskKey task, int run, String host, Duration age, Optional<Duration> sinceAssigned,
		Evidence evidence) {

	public JobStart {
		Objects.requireNonNull(task, "task");
		Objects.requireNonNull(host, "host");
		Objects.requireNonNull(age, "age");
		Objects.requireNonNull(sinceAssigned, "sinceAssigned");
		Objects.requireNonNull(evidence, "evidence");
	}

}
