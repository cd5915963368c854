package org.crocuspost.time;

import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import org.tinylog.Logger;

/**
 * Timer that runs its actions on a {@link ScheduledExecutorService}. An exception thrown
 * by an action, or an overflow of its stack, is logged; a repeated action continues after
 * it.
 */
public final class ExecutorTimer implements Timer {

	private final ScheduledExecutorService executor;

	/**
	 * Creates the timer.
	 * @param executor the executor of the actions; the caller shuts it down
	 */
	public ExecutorTimer(ScheduledExecutorService executor) {
		this.executor = executor;
	}

	@Override
	public Cancellable schedule(Duration delay, Runnable action) {
		ScheduledFuture<?> future = this.executor.schedule(loggingExceptions(action), delay.toNanos(),
				TimeUnit.NANOSECONDS);
		return () -> future.cancel(false);
	}

	@Override
	public Cancellable repeat(Duration delay, Runnable action) {
		long nanos = delay.toNanos();
		ScheduledFuture<?> future = this.executor.scheduleWithFixedDelay(loggingExceptions(action), nanos, nanos,
				TimeUnit.NANOSECONDS);
		return () -> future.cancel(false);
	}

	private static Runnable loggingExceptions(Runnable action) {
		return () -> {
			try {
				action.run();
			}
			catch (RuntimeException | StackOverflowError ex) {
				Logger.error(ex, "timer action failed");
			}
		};
	}

}
