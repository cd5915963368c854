package org.crocuspost.tour;

import java.time.Duration;
import java.util.concurrent.CountDownLatch;
import java.util.concurrent.TimeUnit;
import java.util.function.BooleanSupplier;

import org.crocuspost.time.Clock;

/**
 * Waits for conditions with a timeout.
 */
final class ConditionWaiter {

	private static final Duration POLL = Duration.ofMillis(20);

	private final Clock clock;

	ConditionWaiter(Clock clock) {
		this.clock = clock;
	}

	/**
	 * Waits until a condition holds.
	 * @param timeout the maximum time to wait
	 * @param condition the condition
	 * @return whether the condition held before the timeout
	 */
	boolean awaitCondition(Duration timeout, BooleanSupplier condition) {
		long end = this.clock.nanoTime() + timeout.toNanos();
		while (!condition.getAsBoolean()) {
			if (this.clock.nanoTime() - end >= 0) {
				return false;
			}
			pause(POLL);
		}
		return true;
	}

	/**
	 * Waits for a fixed time.
	 * @param duration the time to wait
	 */
	void pause(Duration duration) {
		try {
			new CountDownLatch(1).await(duration.toMillis(), TimeUnit.MILLISECONDS);
		}
		catch (InterruptedException ex) {
			Thread.currentThread().interrupt();
		}
	}

}
