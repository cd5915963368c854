package org.crocuspost.worker;

import io.vavr.collection.Seq;
import org.crocuspost.platform.worker.AttemptKey;

/**
 * The running attempts of a worker, for the control of interference.
 */
public interface RunningAttempts {

	/**
	 * Lists the running attempts.
	 * @return the attempts
	 */
	Seq<RunningAttempt> running();

	/**
	 * Limits the processor share of an attempt. Has no effect on an attempt that does not
	 * run.
	 * @param attempt the attempt
	 * @param percent the share, 0 to 100
	 */
	void throttle(AttemptKey attempt, int percent);

	/**
	 * Asks the scheduler to evict an attempt. The scheduler decides when.
	 * @param attempt the attempt
	 */
	void requestEviction(AttemptKey attempt);

}
