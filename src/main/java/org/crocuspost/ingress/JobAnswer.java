package org.crocuspost.ingress;

import java.time.Duration;
import java.util.Optional;

import org.crocuspost.error.Verdict;
import org.crocuspost.job.JobState;

/**
 * Answer to a caller.
 */
public sealed interface JobAnswer {

	/**
	 * The job is accepted and stored, or the cancellation is.
	 */
	record Accepted() implements JobAnswer {
	}

	/**
	 * The state of a job.
	 *
	 * @param state the state
	 */
	record State(JobState state) implements JobAnswer {
	}

	/**
	 * Number of jobs of a queue of which no task has started.
	 *
	 * @param count the number
	 */
	record Pending(int count) implements JobAnswer {
	}

	/**
	 * No such queue.
	 */
	record NoQueue() implements JobAnswer {
	}

	/**
	 * No such job.
	 */
	record NoJob() implements JobAnswer {
	}

	/**
	 * The request is malformed.
	 *
	 * @param reason what is wrong
	 */
	record Malformed(String reason) implements JobAnswer {
	}

	/**
	 * The request was not carried out now.
	 *
	 * @param verdict whether it may have been carried out all the same
	 * @param overloaded whether load is the reason
	 * @param reason the reason
	 * @param retryAfter when to come back
	 */
	record Refused(Verdict verdict, boolean overloaded, String reason,
			Optional<Duration> retryAfter) implements JobAnswer {
	}

}
