package org.crocuspost.host;

import java.util.List;

import org.crocuspost.wire.EndedTask;
import org.crocuspost.wire.RunningTask;

/**
 * State of a worker as returned by a hold call.
 *
 * @param clockMillis the worker's clock, in milliseconds
 * @param born start time of this incarnation of the worker, Unix time in milliseconds; 0
 * if the answer does not contain it
 * @param running the runs that are in progress
 * @param ended the ends of runs that are not acknowledged yet
 */
public record WorkerState(long clockMillis, long born, List<RunningTask> running, List<EndedTask> ended) {

	public WorkerState {
		running = List.copyOf(running);
		ended = List.copyOf(ended);
	}

}
