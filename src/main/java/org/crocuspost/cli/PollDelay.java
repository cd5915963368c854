package org.crocuspost.cli;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;

/**
 * Delay between two polls of a command that polls repeatedly. Tests replace it to poll
 * without waiting.
 */
@FunctionalInterface
interface PollDelay {

	/**
	 * Waits before the next poll.
	 * @param duration how long to wait
	 * @return false if the command should stop polling
	 */
	boolean pause(Duration duration);

	/**
	 * Returns a delay that waits in real time. An interrupt of the thread stops the
	 * polling.
	 * @return the delay
	 */
	static PollDelay realTime() {
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
