package org.crocuspost.time;

import java.time.Duration;
import java.time.Instant;

/**
 * Measures elapsed time for the holder and for the observers of a lease. On some systems
 * the monotonic clock stops while the host is suspended, and the wall clock can be set
 * back, so the holder of a lease uses the larger of the two elapsed times. An observer
 * that waits for the lease of another process to expire uses only the monotonic clock,
 * because a wall clock that is set forward must not end the wait early.
 */
public final class Stopwatch {

	private final Clock clock;

	private final long startNanos;

	private final Instant startInstant;

	private Stopwatch(Clock clock) {
		this.clock = clock;
		this.startNanos = clock.nanoTime();
		this.startInstant = clock.instant();
	}

	/**
	 * Starts a stopwatch.
	 * @param clock the clock
	 * @return the stopwatch
	 */
	public static Stopwatch start(Clock clock) {
		return new Stopwatch(clock);
	}

	/**
	 * Returns the elapsed time to use by the holder of a lease.
	 * @return the larger of the elapsed monotonic and wall-clock time
	 */
	public Duration holderElapsed() {
		Duration monotonic = observerElapsed();
		Duration wall = Duration.between(this.startInstant, this.clock.instant());
		return (wall.compareTo(monotonic) > 0) ? wall : monotonic;
	}

	/**
	 * Returns the elapsed time to use by an observer of a lease.
	 * @return the elapsed monotonic time
	 */
	public Duration observerElapsed() {
		return Duration.ofNanos(this.clock.nanoTime() - this.startNanos);
	}

}
