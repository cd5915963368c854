package org.crocuspost.ingress;

import java.time.Duration;
import java.util.Optional;

import org.crocuspost.error.Verdict;
import org.crocuspost.job.JobState;

/**
 * Answer to a caller's request.
 */
public sealed interface JobAnswer {

	/**
	 * The job or the cancellation is accepted and stored, or the job has already ended.
	 */
	record Accepted() implements JobAnswer {
	}

	/**
	 * The state of a job.
	 *
	 * @param state the state of the job
	 */
	record State(JobState state) implements JobAnswer {
	}

	/**
	 * The number of jobs of a queue of which no task has started.
	 *
	 * @param count the number of jobs
	 */
	record Pending(int count) implements JobAnswer {
	}

	/**
	 * No queue has this host and path.
	 */
	record NoQueue() implements JobAnswer {
	}

	/**
	 * No job has this ID.
	 */
	record NoJob() implements JobAnswer {
	}

	/**
	 * The request is malformed.
	 *
	 * @param reason describes the error
	 */
	record Malformed(String reason) implements JobAnswer {
	}

	/**
	 * The request was refused, or its outcome is unknown.
	 *
	 * @param verdict whether the request may have been carried out nevertheless
	 * @param overloaded whether the request was refused because of overload
	 * @param reason the reason
	 * @param retryAfter the delay after which the caller may retry
	 */
	record Refused(Verdict verdict, boolean overloaded, String reason,
			Optional<Duration> retryAfter) implements JobAnswer {
	}

}
