package org.crocuspost.standin.worker;

import java.time.Duration;
import java.time.Instant;

import org.crocuspost.platform.worker.AttemptKey;
import org.crocuspost.platform.worker.Resources;
import org.crocuspost.platform.worker.TaskState.Phase;

/**
 * Record of one attempt that ran on a worker stand-in.
 *
 * @param worker the worker
 * @param attempt the attempt
 * @param job the job
 * @param resources the resources that were reserved
 * @param started start of the attempt
 * @param ended end of the attempt; {@link Instant#MAX} if it is still running
 * @param startProgress progress of earlier attempts, from the checkpoint; as run time
 * without throttling
 * @param progress total progress, including that of earlier attempts
 * @param phase phase of the attempt
 */
public record RunRecord(String worker, AttemptKey attempt, String job, Resources resources, Instant started,
		Instant ended, Duration startProgress, Duration progress, Phase phase) {

	/**
	 * Returns whether this attempt and another one ran at the same time.
	 * @param other the other attempt
	 * @return true if they did
	 */
	public boolean overlaps(RunRecord other) {
		return this.started.isBefore(other.ended) && other.started.isBefore(this.ended);
	}

}
