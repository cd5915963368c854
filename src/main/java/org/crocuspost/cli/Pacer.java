package org.crocuspost.cli;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Waits between two calls of a command that follows something.
 */
@FunctionalInterface
interface Pacer {

	/**
	 * Waits.
	 * @param duration how long
	 * @return false if the command is to end
	 */
	boolean pause(Duration duration);

	/**
	 * Returns a pacer that waits in real time and ends when the thread is interrupted.
	 * @return the pacer
	 */
	static Pacer realTime() {
		CountDownLatch never = new CountDownLatch(1);
		return (duration) -> {
			try {
				return !never.await(duration.toNanos(), TimeUnit.NANOSECONDS);
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
				return false;
			}
		};
	}

}
