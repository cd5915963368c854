package org.crocuspost.time;

import java.time.Duration;

/**
 * Runs actions after a delay. The delay is measured on the monotonic clock of the timer.
 */
public interface Timer {

	/**
	 * Runs an action once.
	 * @param delay the time to wait before the action runs
	 * @param action the action
	 * @return a handle that cancels the action if it has not run yet
	 */
	Cancellable schedule(Duration delay, Runnable action);

	/**
	 * Runs an action repeatedly, with a fixed delay between the end of one execution and
	 * the start of the next.
	 * @param delay the time to wait before each execution
	 * @param action the action
	 * @return a handle that cancels further executions
	 */
	Cancellable repeat(Duration delay, Runnable action);

}
