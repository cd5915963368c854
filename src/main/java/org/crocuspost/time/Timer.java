package org.crocuspost.time;

import java.time.Duration;

/**
 * Runs actions after a delay. The delay counts on the monotonic clock that belongs to the
 * timer.
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
	 * Runs an action again and again, with a fixed delay between the end of one run and
	 * the start of the next.
	 * @param delay the time to wait before each run
	 * @param action the action
	 * @return a handle that ends the repetition
	 */
	Cancellable repeat(Duration delay, Runnable action);

}
