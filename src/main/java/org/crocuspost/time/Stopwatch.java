package org.crocuspost.time;

import java.time.Duration;
import java.time.Instant;

/**
 * Elapsed time since a start, safe for the holder of a lease. The monotonic clock of some
 * systems stands still while the host is suspended and the wall clock can be set back, so
 * the holder counts the larger of the two. An observer that waits for the lease of
 * another process to lapse counts the monotonic clock only, because a wall clock that is
 * set forward must not end its wait early.
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
	 * Returns the elapsed time as the holder of a lease must count it.
	 * @return the larger of the elapsed monotonic and wall-clock time
	 */
	public Duration holderElapsed() {
		Duration monotonic = observerElapsed();
		Duration wall = Duration.between(this.startInstant, this.clock.instant());
		return (wall.compareTo(monotonic) > 0) ? wall : monotonic;
	}

	/**
	 * Returns the elapsed time as an observer must count it.
	 * @return the elapsed monotonic time
	 */
	public Duration observerElapsed() {
		return Duration.ofNanos(this.clock.nanoTime() - this.startNanos);
	}

}
