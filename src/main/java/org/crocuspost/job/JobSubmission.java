package org.crocuspost.job;

import java.util.Objects;

/**
 * An accepted job.
 *
 * @param id identity chosen by the caller
 * @param queue name of the queue
 * @param acceptedMillis Unix time of the acceptance in milliseconds, by the clock of the
 * accepting host
 * @param specification what the job consists of
 */
public record JobSubmission(String id, String queue, long acceptedMillis, JobSpecification specification) {

	public JobSubmission {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(queue, "queue");
		Objects.requireNonNull(specification, "specification");
	}

}
