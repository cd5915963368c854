package org.crocuspost.worker;

import io.vavr.collection.Seq;
import org.crocuspost.platform.worker.AttemptKey;

/**
 * Gives access to the running attempts of a worker, for the control of interference
 * between tasks and services.
 */
public interface RunningAttempts {

	/**
	 * Returns the running attempts.
	 * @return the attempts
	 */
	Seq<RunningAttempt> running();

	/**
	 * Limits the CPU time of an attempt. Has no effect on an attempt that does not run.
	 * @param attempt the attempt
	 * @param percent the share of its declared CPU time in percent, 0 to 100
	 */
	void throttle(AttemptKey attempt, int percent);

	/**
	 * Requests the eviction of an attempt from the scheduler, which decides when the
	 * attempt is evicted.
	 * @param attempt the attempt
	 */
	void requestEviction(AttemptKey attempt);

}
