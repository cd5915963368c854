package org.crocuspost.dispatch;

import java.time.Duration;
import java.util.List;
import java.util.Objects;

import org.crocuspost.job.TaskKey;

/**
 * The end of a worker that had not announced it, noticed by the start of its successor.
 *
 * @param worker the identity of the worker
 * @param startMillis the start time of the worker, Unix time in milliseconds
 * @param successor the identity of the worker that followed on the host; the same
 * identity may be used again
 * @param runs the number of runs that were lost
 * @param recentStarts the tasks whose runs are not known to have run for long before the
 * crash, and may therefore have caused it
 * @param evidenceAge the age of the worker's lists in the report that led to the
 * conclusion
 */
public record WorkerCrash(String worker, long startMillis, String successor, int runs, List<TaskKey> recentStarts,
		Duration evidenceAge) {

	public WorkerCrash {
		Objects.requireNonNull(worker, "worker");
		Objects.requireNonNull(successor, "successor");
		recentStarts = List.copyOf(recentStarts);
		Objects.requireNonNull(evidenceAge, "evidenceAge");
	}

}
