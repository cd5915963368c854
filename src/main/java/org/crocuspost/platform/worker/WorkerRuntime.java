package org.crocuspost.platform.worker;

import java.time.Duration;

import io.vavr.collection.Seq;
import io.vavr.control.Either;
import org.crocuspost.error.Failure;

/**
 * The platform's runtime on one worker. It runs tasks under leases and stops a task whose
 * lease lapses. Calls block until the runtime answers or the call's time limit passes;
 * they never throw.
 */
public interface WorkerRuntime {

	/**
	 * Starts an attempt of a task. A second call for the same attempt has no effect.
	 * @param start what to start
	 * @return the state of the attempt
	 */
	Either<Failure, TaskState> start(TaskStart start);

	/**
	 * Renews the lease of a running attempt. The lease counts from when the runtime
	 * receives the call.
	 * @param attempt the attempt
	 * @param lease the new length of the lease
	 * @return the state of the attempt
	 */
	Either<Failure, TaskState> renew(AttemptKey attempt, Duration lease);

	/**
	 * Saves the progress of a running attempt.
	 * @param attempt the attempt
	 * @return the state of the attempt with the reference to the new checkpoint
	 */
	Either<Failure, TaskState> checkpoint(AttemptKey attempt);

	/**
	 * Limits the processor share of a running attempt.
	 * @param attempt the attempt
	 * @param percent the share of its declared processor time, 0 to 100
	 * @return the state of the attempt
	 */
	Either<Failure, TaskState> throttle(AttemptKey attempt, int percent);

	/**
	 * Stops an attempt and confirms that it does not run. An attempt that the runtime
	 * does not know is refused for ever after this call.
	 * @param attempt the attempt
	 * @return the state of the attempt, which is no longer running
	 */
	Either<Failure, TaskState> stop(AttemptKey attempt);

	/**
	 * Lists the attempts that run now and those that ended and are not yet forgotten.
	 * @return their states
	 */
	Either<Failure, Seq<TaskState>> list();

	/**
	 * Forgets an attempt that has ended.
	 * @param attempt the attempt
	 * @return the last state of the attempt
	 */
	Either<Failure, TaskState> forget(AttemptKey attempt);

	/**
	 * Reports the use of resources by each running attempt. Reports lag behind.
	 * @return the newest reports
	 */
	Either<Failure, Seq<UsageReport>> usage();

}
