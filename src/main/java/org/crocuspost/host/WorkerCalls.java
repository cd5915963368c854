package org.crocuspost.host;

import java.time.Duration;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.crocuspost.job.TaskKey;

/**
 * Calls to the worker of the host. They return at once; answers arrive on the event loop
 * of the process.
 */
public interface WorkerCalls {

	/**
	 * Extends the lease of everything that runs, acknowledges ends and asks for the
	 * state.
	 * @param life the life of the worker that is meant
	 * @param fence the fencing token
	 * @param acknowledgedEnds ends up to this number are forgotten by the worker
	 * @param leaseUntilMillis end of the lease on the worker's clock; 0 to extend nothing
	 * @param patience how long the worker waits for an end before it answers
	 * @param answer receives the state, or what became of the call
	 */
	void hold(WorkerAnnouncement life, long fence, long acknowledgedEnds, long leaseUntilMillis, Duration patience,
			Consumer<Either<OrderOutcome, WorkerState>> answer);

	/**
	 * Starts a run.
	 * @param life the life of the worker that is meant
	 * @param fence the fencing token
	 * @param run the run
	 * @param leaseUntilMillis end of the lease on the worker's clock
	 * @param answer receives what became of the call
	 */
	void start(WorkerAnnouncement life, long fence, RunStart run, long leaseUntilMillis, Consumer<OrderOutcome> answer);

	/**
	 * Stops a run. Once this is obeyed, the run can no longer start either.
	 * @param life the life of the worker that is meant
	 * @param fence the fencing token
	 * @param task the task
	 * @param run the number of the run
	 * @param answer receives what became of the call
	 */
	void stop(WorkerAnnouncement life, long fence, TaskKey task, int run, Consumer<OrderOutcome> answer);

	/**
	 * Slows a run down or lets it go on.
	 * @param life the life of the worker that is meant
	 * @param fence the fencing token
	 * @param task the task
	 * @param run the number of the run
	 * @param percent share of its full speed
	 * @param answer receives what became of the call
	 */
	void pace(WorkerAnnouncement life, long fence, TaskKey task, int run, int percent, Consumer<OrderOutcome> answer);

	/**
	 * A run to start.
	 *
	 * @param task the task
	 * @param run the number of the run
	 * @param specification text that the task receives
	 * @param checkpoint saved progress to resume from; empty for none
	 * @param ticket permission of the adviser; empty for none
	 */
	record RunStart(TaskKey task, int run, String specification, String checkpoint, String ticket) {
	}

}
