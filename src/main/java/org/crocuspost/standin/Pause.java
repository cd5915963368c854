package org.crocuspost.standin;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;

import org.crocuspost.time.Timer;

/**
 * Blocks a call to simulate a slow service.
 */
@FunctionalInterface
public interface Pause {

	/**
	 * Blocks the calling thread.
	 * @param duration how long to block
	 */
	void await(Duration duration);

	/**
	 * Returns a pause that never waits, for tests in virtual time.
	 * @return the pause
	 */
	static Pause none() {
		return (duration) -> {
		};
	}

	/**
	 * Returns a pause that waits until a timer fires on another thread.
	 * @param timer the timer
	 * @return the pause; it ends early if the waiting thread is interrupted
	 */
	static Pause on(Timer timer) {
		return (duration) -> {
			if (duration.isZero()) {
				return;
			}
			CountDownLatch fired = new CountDownLatch(1);
			timer.schedule(duration, fired::countDown);
			try {
				fired.await();
			}
			catch (InterruptedException ex) {
				Thread.currentThread().interrupt();
			}
		};
	}

}
