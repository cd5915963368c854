package org.crocuspost.standin.worker;

import java.time.Duration;
import java.time.Instant;

import org.crocuspost.platform.worker.AttemptKey;
import org.crocuspost.platform.worker.Resources;
import org.crocuspost.platform.worker.TaskState.Phase;

/**
 * What the worker runtime recorded about one attempt that ran.
 *
 * @param worker the worker
 * @param attempt the attempt
 * @param job the job
 * @param resources the resources that were set aside
 * @param started when it started
 * @param ended when it ended; {@link Instant#MAX} if it still runs
 * @param startProgress the work that earlier attempts had done
 * @param progress the work that is done
 * @param phase what the attempt does
 */
public record RunRecord(String worker, AttemptKey attempt, String job, Resources resources, Instant started,
		Instant ended, Duration startProgress, Duration progress, Phase phase) {

	/**
	 * Says whether two attempts ran at the same time.
	 * @param other the other attempt
	 * @return true if they did
	 */
	public boolean overlaps(RunRecord other) {
		return this.started.isBefore(other.ended) && other.started.isBefore(this.ended);
	}

}
