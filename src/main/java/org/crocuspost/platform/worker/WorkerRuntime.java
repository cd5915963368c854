package org.crocuspost.platform.worker;

import java.time.Duration;

import io.vavr.collection.Seq;
import io.vavr.control.Either;
import org.crocuspost.error.Failure;

/**
 * The platform's runtime on one worker. It runs attempts of tasks under leases and stops
 * an attempt whose lease expires. Calls block until the runtime responds or the timeout
 * of the call expires. They never throw.
 */
public interface WorkerRuntime {

	/**
	 * Starts an attempt of a task. A second call for the same attempt has no effect.
	 * @param start the attempt to start, with its resources and lease
	 * @return the state of the attempt
	 */
	Either<Failure, TaskState> start(TaskStart start);

	/**
	 * Renews the lease of a running attempt. The lease starts when the runtime receives
	 * the call.
	 * @param attempt the attempt
	 * @param lease the duration of the renewed lease
	 * @return the state of the attempt
	 */
	Either<Failure, TaskState> renew(AttemptKey attempt, Duration lease);

	/**
	 * Saves a checkpoint of the progress of a running attempt.
	 * @param attempt the attempt
	 * @return the state of the attempt with the reference to the new checkpoint
	 */
	Either<Failure, TaskState> checkpoint(AttemptKey attempt);

	/**
	 * Limits the CPU share of a running attempt.
	 * @param attempt the attempt
	 * @param percent the share of its declared CPU time in percent, 0 to 100
	 * @return the state of the attempt
	 */
	Either<Failure, TaskState> throttle(AttemptKey attempt, int percent);

	/**
	 * Stops an attempt and confirms that it is not running. If the runtime has no record
	 * of the attempt, it permanently refuses the attempt after this call.
	 * @param attempt the attempt
	 * @return the state of the attempt, which is no longer running
	 */
	Either<Failure, TaskState> stop(AttemptKey attempt);

	/**
	 * Lists the running attempts and the ended attempts that were not yet removed with
	 * {@link #forget(AttemptKey)}.
	 * @return their states
	 */
	Either<Failure, Seq<TaskState>> list();

	/**
	 * Removes the record of an attempt that has ended.
	 * @param attempt the attempt
	 * @return the last state of the attempt
	 */
	Either<Failure, TaskState> forget(AttemptKey attempt);

	/**
	 * Returns the resource usage of each running attempt. Reports are delayed.
	 * @return the newest report of each attempt
	 */
	Either<Failure, Seq<UsageReport>> usage();

}
