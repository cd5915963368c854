package org.crocuspost.job;

import java.util.Objects;

/**
 * Job that has been accepted from a caller.
 *
 * @param id the identity chosen by the caller
 * @param queue the name of the queue
 * @param acceptedMillis the time of acceptance, Unix time in milliseconds by the clock of
 * the accepting host
 * @param specification the steps of the job and when they run
 */
public record JobSubmission(String id, String queue, long acceptedMillis, JobSpecification specification) {

	public JobSubmission {
		Objects.requireNonNull(id, "id");
		Objects.requireNonNull(queue, "queue");
		Objects.requireNonNull(specification, "specification");
	}

}
