package org.crocuspost.host;

import java.time.Duration;
import java.util.function.Consumer;

import io.vavr.control.Either;
import org.crocuspost.job.TaskKey;

/**
 * Calls to the worker of the host. They are asynchronous; answers arrive on the event
 * loop of the process.
 */
public interface WorkerCalls {

	/**
	 * Extends the lease of all runs in progress, acknowledges ends and requests the state
	 * of the worker.
	 * @param target the incarnation of the worker that the call is addressed to
	 * @param fence the fencing token
	 * @param acknowledgedEnds the highest number of an end that is acknowledged; the
	 * worker discards the ends up to it
	 * @param leaseUntilMillis end of the lease on the worker's clock, in milliseconds; 0
	 * to extend nothing
	 * @param maximumWait how long the worker waits for an end before it answers
	 * @param answer receives the state, or the outcome of the call if it failed
	 */
	void hold(WorkerAnnouncement target, long fence, long acknowledgedEnds, long leaseUntilMillis, Duration maximumWait,
			Consumer<Either<OrderOutcome, WorkerState>> answer);

	/**
	 * Starts a run.
	 * @param target the incarnation of the worker that the call is addressed to
	 * @param fence the fencing token
	 * @param run the run
	 * @param leaseUntilMillis end of the lease on the worker's clock, in milliseconds
	 * @param answer receives the outcome of the call
	 */
	void start(WorkerAnnouncement target, long fence, RunStart run, long leaseUntilMillis,
			Consumer<OrderOutcome> answer);

	/**
	 * Stops a run. Once the stop has been carried out, a start of the run that is
	 * delivered later has no effect.
	 * @param target the incarnation of the worker that the call is addressed to
	 * @param fence the fencing token
	 * @param task the task
	 * @param run the number of the run
	 * @param answer receives the outcome of the call
	 */
	void stop(WorkerAnnouncement target, long fence, TaskKey task, int run, Consumer<OrderOutcome> answer);

	/**
	 * Sets the pace of a run.
	 * @param target the incarnation of the worker that the call is addressed to
	 * @param fence the fencing token
	 * @param task the task
	 * @param run the number of the run
	 * @param percent the pace, in percent of its full speed
	 * @param answer receives the outcome of the call
	 */
	void pace(WorkerAnnouncement target, long fence, TaskKey task, int run, int percent, Consumer<OrderOutcome> answer);

	/**
	 * A run to start.
	 *
	 * @param task the task
	 * @param run the number of the run
	 * @param specification the text that the task receives
	 * @param checkpoint saved progress to resume from; empty for none
	 * @param ticket permission from the adviser; empty for none
	 */
	record RunStart(TaskKey task, int run, String specification, String checkpoint, String ticket) {
	}

}
