package org.crocuspost.host;

import java.util.List;

import org.crocuspost.wire.EndedTask;
import org.crocuspost.wire.RunningTask;

/**
 * What a worker runs, by its own answer.
 *
 * @param clockMillis the worker's clock
 * @param born start of this life of the worker, Unix time in milliseconds; 0 if not told
 * @param running what it runs
 * @param ended ends that are not acknowledged yet
 */
public record WorkerState(long clockMillis, long born, List<RunningTask> running, List<EndedTask> ended) {

	public WorkerState {
		running = List.copyOf(running);
		ended = List.copyOf(ended);
	}

}
