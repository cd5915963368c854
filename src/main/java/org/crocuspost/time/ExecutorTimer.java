package org.crocuspost.time;

import java.time.Duration;
import java.util.concurrent.ScheduledExecutorService;
import java.util.concurrent.ScheduledFuture;
import java.util.concurrent.TimeUnit;

import org.tinylog.Logger;

/**
 * Timer on a {@link ScheduledExecutorService}. An action that throws is logged and, if it
 * repeats, runs again.
 */
public final class ExecutorTimer implements Timer {

	private final ScheduledExecutorService executor;

	/**
	 * Creates the timer.
	 * @param executor runs the actions; the caller shuts it down
	 */
	public ExecutorTimer(ScheduledExecutorService executor) {
		this.executor = executor;
	}

	@Override
	public Cancellable schedule(Duration delay, Runnable action) {
		ScheduledFuture<?> future = this.executor.schedule(guarded(action), delay.toNanos(), TimeUnit.NANOSECONDS);
		return () -> future.cancel(false);
	}

	@Override
	public Cancellable repeat(Duration delay, Runnable action) {
		long nanos = delay.toNanos();
		ScheduledFuture<?> future = this.executor.scheduleWithFixedDelay(guarded(action), nanos, nanos,
				TimeUnit.NANOSECONDS);
		return () -> future.cancel(false);
	}

	private static Runnable guarded(Runnable action) {
		return () -> {
			try {
				action.run();
			}
			catch (RuntimeException ex) {
				Logger.error(ex, "timer action failed");
			}
		};
	}

}
